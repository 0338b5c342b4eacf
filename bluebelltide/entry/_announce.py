"""The HTTP API of an entry instance: announcements, readiness and status."""

from collections.abc import Callable
from typing import NamedTuple

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from bluebelltide import _checking
from bluebelltide import _codes
from bluebelltide import _exceptions
from bluebelltide import _http
from bluebelltide import _metrics
from bluebelltide import _tokens
from bluebelltide import _types
from bluebelltide.catalogue import _view
from bluebelltide.membership import _registry
from bluebelltide.membership import _target_records

MAXIMUM_LEASE_MS = 60_000
"""Maximum lease of a target; longer ones are shortened."""
MINIMUM_LEASE_MS = 500
"""Minimum lease of a target; shorter ones are lengthened."""


class Announcement(NamedTuple):
    """The body of an announcement; the instance adds the data centre."""

    target_id: str
    """The target's own name, unique within its service."""
    service: str
    """The service that the target runs."""
    address: _types.Address
    """Where the target accepts flows."""
    generation: int
    """Increases at each start of the target's process."""
    sequence: int
    """Increases with each announcement of a generation."""
    state: _types.TargetState
    """The state that the target reports."""
    slots: int
    """How many requests the target can run at the same time."""
    connections: int = 0
    """The number of open flows that the target reports."""
    load_percent: int = 0
    """The number of busy slots, in percent of all slots."""
    lease_ms: int = 3000
    """How long the announcement is valid without a renewal."""


class AnnounceHandler:
    """Checks announcements and stores them in the registry."""

    def __init__(
        self,
        registry: _registry.TargetRegistry,
        view: _view.CatalogueView,
        data_centre: str,
        metrics: _metrics.Metrics,
        is_initialised: Callable[[], bool],
    ) -> None:
        """Creates the handler.

        Args:
            registry: Stores the accepted announcements.
            view: Holds the keys of the services.
            data_centre: The data centre of the instance.
            metrics: The metrics of the process.
            is_initialised: Returns whether the view is current.
        """
        self._is_initialised = is_initialised
        self._registry = registry
        self._view = view
        self._data_centre = data_centre
        self._metrics = metrics

    def handle(self, body: object, key: str, now_ms: int) -> None:
        """Handles one announcement.

        Args:
            body: The parsed body of the request.
            key: The bearer key of the request.
            now_ms: The current time.

        Raises:
            BluebelltideError: If the announcement is refused; a wrong key and a
                refusal by the registry are counted.
        """
        if not self._is_initialised():
            raise _exceptions.BluebelltideError(
                _exceptions.ErrorCode.NOT_READY,
                "the instance is starting; announce to another one",
            )
        announcement, problems = _checking.check_record(Announcement, body, "")
        _checking.raise_problems(
            _exceptions.ErrorCode.BAD_REQUEST, "announcement", problems
        )
        assert announcement is not None
        self._check_key(announcement.service, key)
        lease_ms = max(MINIMUM_LEASE_MS, announcement.lease_ms)
        fields = announcement._replace(
            lease_ms=min(MAXIMUM_LEASE_MS, lease_ms)
        )._asdict()
        target = _target_records.check_fields(
            _types.Target(data_centre=self._data_centre, **fields),
            "announcement",
        )
        refusal = self._registry.announce(target, now_ms)
        if refusal is not None:
            self._metrics.count("peer", refusal)
            raise _refusal_error(refusal, target)

    def _check_key(self, service: str, key: str) -> None:
        entry = self._view.service(service)
        if entry is None:
            raise _exceptions.BluebelltideError(
                _exceptions.ErrorCode.NOT_FOUND, "no such service", service
            )
        if not _tokens.is_token_known(key, entry.target_key_hashes):
            self._metrics.count("peer", _codes.PeerCode.BAD_KEY)
            raise _exceptions.BluebelltideError(
                _exceptions.ErrorCode.UNAUTHORISED,
                "expected a key of the service",
                service,
            )


def _refusal_error(
    refusal: _codes.PeerCode, target: _types.Target
) -> _exceptions.BluebelltideError:
    if refusal == _codes.PeerCode.WRONG_SERVICE:
        return _exceptions.BluebelltideError(
            _exceptions.ErrorCode.FORBIDDEN,
            f"{target.address} belongs to a target of another service",
            target.service,
        )
    return _exceptions.BluebelltideError(
        _exceptions.ErrorCode.STALE_GENERATION,
        "a newer announcement of this target is known",
        target.target_id,
    )


_HTTP_STATUS_OF_CODE = {
    _exceptions.ErrorCode.UNAUTHORISED: 401,
    _exceptions.ErrorCode.FORBIDDEN: 403,
    _exceptions.ErrorCode.NOT_FOUND: 404,
    _exceptions.ErrorCode.STALE_GENERATION: 409,
    _exceptions.ErrorCode.TOO_LARGE: 413,
    _exceptions.ErrorCode.NOT_READY: 503,
}


def create_announce_api(
    handler: AnnounceHandler,
    metrics: _metrics.Metrics,
    is_ready: Callable[[], bool],
    status: Callable[[], dict[str, object]],
    clock_ms: Callable[[], int],
) -> applications.Starlette:
    """Creates the HTTP application.

    Args:
        handler: Handles announcements.
        metrics: The metrics of the process.
        is_ready: Returns whether the fabric may send new flows here.
        status: Returns the body of `/v1/status`.
        clock_ms: Returns the current time.

    Returns:
        The application.
    """

    async def post_announce(request: requests.Request) -> responses.Response:
        try:
            body = await _http.read_json(request)
            handler.handle(body, _http.bearer_token(request), clock_ms())
        except _exceptions.BluebelltideError as error:
            if error.code in (
                _exceptions.ErrorCode.TOO_LARGE,
                _exceptions.ErrorCode.BAD_REQUEST,
                _exceptions.ErrorCode.BAD_TARGET,
            ):
                metrics.count("peer", _codes.PeerCode.BAD_ANNOUNCEMENT)
            status_code = _HTTP_STATUS_OF_CODE.get(error.code, 400)
            return responses.JSONResponse(_http.error_body(error), status_code)
        return responses.JSONResponse({"accepted": True})

    async def get_ready(request: requests.Request) -> responses.Response:
        del request
        is_instance_ready = is_ready()
        return responses.JSONResponse(
            {"ready": is_instance_ready}, 200 if is_instance_ready else 503
        )

    async def get_health(request: requests.Request) -> responses.Response:
        del request
        return responses.JSONResponse({"healthy": True})

    async def get_status(request: requests.Request) -> responses.Response:
        del request
        return responses.JSONResponse(status())

    return applications.Starlette(
        routes=[
            routing.Route("/v1/announce", post_announce, methods=["POST"]),
            routing.Route("/ready", get_ready),
            routing.Route("/healthz", get_health),
            routing.Route("/v1/status", get_status),
        ]
    )
