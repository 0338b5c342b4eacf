"""The operators' HTTP interface of a control replica."""

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import msgspec
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
from bluebelltide.catalogue import _entries
from bluebelltide.catalogue import _register
from bluebelltide.control import _catalogue_replica

_STATUS_OF_CODE = {
    _exceptions.ErrorCode.BAD_REQUEST: 400,
    _exceptions.ErrorCode.BAD_CATALOGUE: 400,
    _exceptions.ErrorCode.UNAUTHORISED: 401,
    _exceptions.ErrorCode.NOT_FOUND: 404,
    _exceptions.ErrorCode.CONFLICT: 409,
    _exceptions.ErrorCode.TOO_LARGE: 413,
    _exceptions.ErrorCode.NO_QUORUM: 503,
    _exceptions.ErrorCode.OUTCOME_UNKNOWN: 504,
}


class ChangeBody(NamedTuple):
    """The body of a change request, without its value.

    The value is validated as an entry of the key's type.
    """

    change_id: str
    """Chosen by the operator's tool; the same when resent."""
    key: str
    """The entry's key."""
    base_version: int
    """The version of the entry that the change is based on."""


class VotersBody(NamedTuple):
    """The body of a request to change the voters."""

    voters: tuple[str, ...]
    """The identities of the new voters."""


Handler = Callable[[requests.Request], Awaitable[responses.Response]]


def _json_response(content: Any, status: int = 200) -> responses.Response:  # noqa: ANN401
    return responses.JSONResponse(content, status)


def _require_operator_token(
    handler: Handler, hashes: tuple[str, ...], metrics: _metrics.Metrics
) -> Handler:
    async def guarded(request: requests.Request) -> responses.Response:
        try:
            token = _http.bearer_token(request)
            if not _tokens.is_token_known(token, hashes):
                metrics.count("peer", _codes.PeerCode.BAD_KEY)
                raise _exceptions.BluebelltideError(
                    _exceptions.ErrorCode.UNAUTHORISED,
                    "expected the bearer token of an operator",
                )
            return await handler(request)
        except _exceptions.BluebelltideError as error:
            status = _STATUS_OF_CODE.get(error.code, 500)
            return _json_response(_http.error_body(error), status)

    return guarded


def _parse_change(raw: dict[str, Any]) -> tuple[ChangeBody, bytes | None]:
    value = raw.pop("value", None)
    body, problems = _checking.check_record(ChangeBody, raw, "")
    _checking.raise_problems(
        _exceptions.ErrorCode.BAD_REQUEST, "change", problems
    )
    assert body is not None
    if value is None:
        return body, None
    entry, lines = _entries.check_entry(body.key, value)
    if entry is None:
        raise _exceptions.BluebelltideError(
            _exceptions.ErrorCode.BAD_CATALOGUE, "; ".join(lines), body.key
        )
    return body, _entries.encode_entry(entry)


def create_api(
    replica: _catalogue_replica.CatalogueReplica,
    token_hashes: tuple[str, ...],
    metrics: _metrics.Metrics,
) -> applications.Starlette:
    """Creates the HTTP application.

    Args:
        replica: The replica that serves the requests.
        token_hashes: SHA-256 of the operators' tokens.
        metrics: Counters.

    Returns:
        The application.
    """

    async def post_change(request: requests.Request) -> responses.Response:
        raw = await _http.read_json(request)
        body, value = _parse_change(raw)
        if value is not None:
            _check_against_catalogue(replica, body.key, value)
        result = await replica.change(
            _register.Change(body.change_id, body.key, body.base_version, value)
        )
        if result.code is not None:
            raise _exceptions.BluebelltideError(
                result.code,
                f"the entry is at version {result.version}"
                if result.code == _exceptions.ErrorCode.CONFLICT
                else "too few replicas answered in time",
                body.key,
            )
        return _json_response({"key": body.key, "version": result.version})

    async def get_entries(request: requests.Request) -> responses.Response:
        del request
        return _json_response(
            {
                key: {
                    "version": versioned.version,
                    "value": None
                    if versioned.value is None
                    else msgspec.json.decode(versioned.value),
                }
                for key, versioned in sorted(
                    replica.view.versioned_entries.items()
                )
            }
        )

    async def get_status(request: requests.Request) -> responses.Response:
        del request
        return _json_response(
            {
                "identity": replica.identity,
                "voters": list(replica.voters.voters),
                "next_voters": list(replica.voters.next_voters),
                "linked_replicas": sorted(replica.replica_links),
                "instances": {
                    name: {
                        "data_centre": report.data_centre,
                        "versions": report.versions,
                    }
                    for name, report in sorted(replica.reports.items())
                },
                "counters": dict(metrics.counts),
            }
        )

    async def post_voters(request: requests.Request) -> responses.Response:
        raw = await _http.read_json(request)
        body, problems = _checking.check_record(VotersBody, raw, "")
        _checking.raise_problems(
            _exceptions.ErrorCode.BAD_REQUEST, "voters", problems
        )
        assert body is not None
        await replica.change_voters(body.voters)
        return _json_response({"voters": list(body.voters)})

    def route(path: str, method: str, handler: Handler) -> routing.Route:
        guarded = _require_operator_token(handler, token_hashes, metrics)
        return routing.Route(path, guarded, methods=[method])

    return applications.Starlette(
        routes=[
            route("/v1/changes", "POST", post_change),
            route("/v1/entries", "GET", get_entries),
            route("/v1/status", "GET", get_status),
            route("/v1/voters", "POST", post_voters),
        ]
    )


def _check_against_catalogue(
    replica: _catalogue_replica.CatalogueReplica, key: str, value: bytes
) -> None:
    entries = dict(replica.view.entries)
    entries[key] = _entries.decode_entry(key, value)
    lines = _entries.check_unique_addresses(entries)
    if lines:
        raise _exceptions.BluebelltideError(
            _exceptions.ErrorCode.BAD_CATALOGUE, "; ".join(lines), key
        )
