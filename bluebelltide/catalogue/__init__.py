"""The catalogue: its entries, their validation, and their replication."""

from bluebelltide.catalogue._entries import DRAIN_INSTANCE_PREFIX
from bluebelltide.catalogue._entries import DRAIN_TARGET_PREFIX
from bluebelltide.catalogue._entries import SERVICE_PREFIX
from bluebelltide.catalogue._entries import AdmissionMode
from bluebelltide.catalogue._entries import DrainEntry
from bluebelltide.catalogue._entries import Entry
from bluebelltide.catalogue._entries import Front
from bluebelltide.catalogue._entries import Limits
from bluebelltide.catalogue._entries import Objective
from bluebelltide.catalogue._entries import ServiceClass
from bluebelltide.catalogue._entries import ServiceEntry
from bluebelltide.catalogue._entries import SprayScope
from bluebelltide.catalogue._entries import check_entry
from bluebelltide.catalogue._entries import check_unique_addresses
from bluebelltide.catalogue._entries import decode_entry
from bluebelltide.catalogue._entries import encode_entry
from bluebelltide.catalogue._entries import entry_to_json
from bluebelltide.catalogue._entries import read_catalogue

__all__ = [
    "AdmissionMode",
    "DRAIN_INSTANCE_PREFIX",
    "DRAIN_TARGET_PREFIX",
    "SERVICE_PREFIX",
    "DrainEntry",
    "Entry",
    "Front",
    "Limits",
    "Objective",
    "ServiceClass",
    "ServiceEntry",
    "SprayScope",
    "check_entry",
    "check_unique_addresses",
    "decode_entry",
    "encode_entry",
    "entry_to_json",
    "read_catalogue",
]
