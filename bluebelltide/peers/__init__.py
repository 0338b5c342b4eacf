"""Links between instances and replicas: frames on WebSockets, mutual TLS."""

from bluebelltide.peers._frames import Hello
from bluebelltide.peers._frames import decode_frame
from bluebelltide.peers._frames import encode_frame
from bluebelltide.peers._links import Link
from bluebelltide.peers._links import maintain_link
from bluebelltide.peers._links import serve_links

__all__ = [
    "Hello",
    "Link",
    "decode_frame",
    "encode_frame",
    "maintain_link",
    "serve_links",
]
