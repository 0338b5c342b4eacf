"""Runs a catalogue replica with its links, its HTTP interface and its store."""

import pathlib
import uuid

import anyio
import logbook

from bluebelltide import _guard
from bluebelltide import _http
from bluebelltide import _metrics
from bluebelltide import _program
from bluebelltide import _settings
from bluebelltide.catalogue import _store
from bluebelltide.control import _api
from bluebelltide.control import _catalogue_replica
from bluebelltide.peers import _frames
from bluebelltide.peers import _links

_LOG = logbook.Logger("control")


def load_or_create_identity(
    folder: pathlib.Path, name: str, is_new_catalogue: bool
) -> str:
    """Returns the identity of the replica that owns a data folder.

    If the folder is empty and the catalogue is not new, the replica has lost
    its data. It gets an identity that is in no voter set, so that it cannot
    vote without the promises and states that it has lost.

    Args:
        folder: The data folder.
        name: The replica's name.
        is_new_catalogue: Whether the operator creates a new catalogue.

    Returns:
        The identity.
    """
    stored_identity = _store.read_identity(folder)
    if stored_identity is not None:
        return stored_identity
    identity = name if is_new_catalogue else f"{name}.{uuid.uuid4().hex[:8]}"
    _store.write_identity(folder, identity)
    return identity


async def serve_control(
    settings: _settings.Settings,
    is_new_catalogue: bool = False,
    wait_for_stop: _program.StopWaiter = _program.wait_for_stop_signal,
) -> None:
    """Runs a catalogue replica until a stop signal arrives.

    Args:
        settings: The settings; `control` must be present.
        is_new_catalogue: Whether the operator creates a new catalogue.
        wait_for_stop: Returns when the replica should stop.
    """
    assert settings.control is not None
    control = settings.control
    metrics = _metrics.create_metrics(settings.statsd_address, "control")
    folder = pathlib.Path(control.data_folder)
    identity = load_or_create_identity(folder, settings.name, is_new_catalogue)
    store = _store.Store(folder)
    replica = _catalogue_replica.CatalogueReplica(
        control, identity, store, metrics
    )
    replica.start()
    try:
        await _serve(settings, control, replica, metrics, wait_for_stop)
    finally:
        replica.close()
        metrics.close()


async def _serve(
    settings: _settings.Settings,
    control: _settings.ControlSettings,
    replica: _catalogue_replica.CatalogueReplica,
    metrics: _metrics.Metrics,
    wait_for_stop: _program.StopWaiter,
) -> None:
    hello = _frames.Hello(
        "control", settings.name, replica.identity, settings.data_centre
    )

    async def on_incoming(link: _links.Link) -> None:
        if link.hello.role == "entry":
            await replica.serve_entry(link)
        else:
            await replica.serve_replica(link, is_outgoing=False)

    async def on_outgoing(link: _links.Link) -> None:
        await replica.serve_replica(link, is_outgoing=True)

    api = _api.create_api(replica, control.operator_token_hashes, metrics)
    async with (
        _links.serve_links(
            control.peer_address, settings.tls, hello, metrics, on_incoming
        ) as peer_address,
        _http.serve_http(control.api_address, api) as api_address,
        anyio.create_task_group() as tasks,
    ):
        for address in control.replicas:
            if address != control.peer_address:
                tasks.start_soon(
                    _links.maintain_link,
                    address,
                    settings.tls,
                    hello,
                    metrics,
                    on_outgoing,
                )
        _guard.start_forever(tasks, "repairing", replica.repair_forever)
        _LOG.info(
            "replica {} ready: peers on {}, operators on {}",
            replica.identity,
            peer_address,
            api_address,
        )
        await wait_for_stop()
        tasks.cancel_scope.cancel()
