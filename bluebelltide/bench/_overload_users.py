"""The users' services that the overload experiment simulates."""

from typing import NamedTuple

from bluebelltide.catalogue import _entries


class ServiceModel(NamedTuple):
    """One service of a user."""

    name: str
    """The name of the service."""
    target_count: int
    """The number of its targets."""
    slots: int
    """The number of slots of each target."""
    service_ms: float
    """The mean time that a request occupies a slot."""
    late_after_ms: float
    """The time after which an answer is late."""
    service_class: _entries.ServiceClass
    """The class of the service."""
    caller_count: int
    """The number of callers; a tenth of them send more than half."""


class UserModel(NamedTuple):
    """One user's deployment."""

    instances: int
    """The number of entry instances."""
    data_centres: int
    """The number of data centres."""
    data_centre_delay_ms: float
    """One-way delay between data centres."""
    services: tuple[ServiceModel, ...]
    """The services."""


USERS = {
    "caroni": UserModel(
        9,
        4,
        5.0,
        (
            ServiceModel(
                "reminder-svc",
                7,
                3,
                60.0,
                1000.0,
                _entries.ServiceClass.URGENT,
                400,
            ),
            ServiceModel(
                "statement-svc",
                4,
                3,
                250.0,
                4000.0,
                _entries.ServiceClass.NORMAL,
                80,
            ),
        ),
    ),
    "khuvsgul": UserModel(
        8,
        4,
        3.5,
        (
            ServiceModel(
                "camp-dispatch",
                7,
                2,
                80.0,
                1000.0,
                _entries.ServiceClass.URGENT,
                300,
            ),
            ServiceModel(
                "quality-archive",
                4,
                2,
                400.0,
                6000.0,
                _entries.ServiceClass.BACKGROUND,
                40,
            ),
        ),
    ),
}
