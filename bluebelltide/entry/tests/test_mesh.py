"""Tests of how an instance confirms the catalogue of an earlier run."""

import pathlib

import anyio
import pytest

from bluebelltide import _metrics
from bluebelltide import _settings
from bluebelltide import _types
from bluebelltide.catalogue import _view
from bluebelltide.entry import _mesh
from bluebelltide.entry.tests import test_announce
from bluebelltide.membership import _registry
from bluebelltide.peers import _frames

EXAMPLE = pathlib.Path(__file__).parents[3] / "examples/demo/entry.json"
SAVED = (
    test_announce.AnnounceFixture()
    .view.versioned_entries["service/a"]
    ._replace(version=4)
)


class PeerLink:
    """The link to a peer; records what the instance sends over it."""

    def __init__(self) -> None:
        """Creates the link."""
        self.hello = _frames.Hello("entry", "peer", "1", "dc")
        self.sent: list[object] = []

    async def send(self, message: object) -> None:
        """Records a message to the peer."""
        self.sent.append(message)


@pytest.mark.parametrize(
    ("peer_version", "is_confirmed"), [(None, False), (4, True), (5, False)]
)
def test_a_peer_confirms_the_saved_catalogue_or_replaces_it(
    tmp_path: pathlib.Path, peer_version: int | None, is_confirmed: bool
) -> None:
    path = tmp_path / "entry.json"
    path.write_text(EXAMPLE.read_text().replace("@N@", "1"))
    settings = _settings.read_settings(str(path))

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            mesh = _mesh.Mesh(
                settings,
                _types.Address("127.0.0.1", 7001),
                _registry.TargetRegistry(),
                _view.CatalogueView(),
                _metrics.create_metrics(None, "test"),
                tasks,
            )
            mesh.merge_catalogue((SAVED,))
            assert not mesh.is_catalogue_confirmed
            link = PeerLink()
            known = () if peer_version is None else ((SAVED.key, peer_version),)
            digest = _frames.StateDigest((), known)
            await mesh._on_message(link, digest)  # type: ignore[arg-type]
            assert mesh.is_catalogue_confirmed is is_confirmed
            digests = [
                one for one in link.sent if isinstance(one, _frames.StateDigest)
            ]
            # Peers learn nothing from a catalogue that is not confirmed.
            assert all(not one.catalogue for one in digests)
            assert is_confirmed or not any(
                isinstance(one, _frames.Learned) for one in link.sent
            )
            newer = _frames.Learned((SAVED._replace(version=5),))
            await mesh._on_message(link, newer)  # type: ignore[arg-type]
            assert mesh.is_catalogue_confirmed
            tasks.cancel_scope.cancel()

    anyio.run(run)
