"""Sends an evacuation order until a control replica acknowledges it."""

from collections.abc import Callable, Sequence
import time
from typing import Any, NamedTuple
import urllib.parse

import httpx

from bluebelltide import _exceptions

ORDER_PATH = "/evacuations/"
"""The path of orders; the name of the data centre follows it."""
ATTEMPT_TIMEOUT_S = 1.0
"""How long one replica may take to answer. It is longer than a proposal may
run, so that no proposal runs when the next attempt or the next order starts."""
SEND_FOR_S = 6.0
"""How long an order without a clear answer is sent again."""
RETRY_PAUSE_S = 0.1
"""The pause between two attempts."""


class Acknowledgement(NamedTuple):
    """The answer of the replica that acknowledged an order."""

    version: int
    """The version of the set of evacuated data centres."""
    data_centres: list[str]
    """The evacuated data centres."""
    control: str
    """The base URL of the replica."""
    attempts: int
    """How often the order was sent."""


def send_order(
    urls: Sequence[str],
    data_centre: str,
    is_evacuated: bool,
    transport: httpx.BaseTransport | None = None,
    clock: Callable[[], float] = time.monotonic,
    sleep: Callable[[float], None] = time.sleep,
) -> Acknowledgement:
    """Sends an order to the replicas in turn until one acknowledges it.

    The order may be sent again unchanged. A timeout, a failed connection or a
    status of 500 and above says nothing about its outcome, so the next replica
    is tried.

    Args:
        urls: Base URLs of the control replicas.
        data_centre: The name of the data centre.
        is_evacuated: Whether to evacuate it; False withdraws this.
        transport: Delivers the requests; over the network if None.
        clock: Returns a time in seconds that only grows.
        sleep: Waits for some seconds.

    Returns:
        The acknowledgement.

    Raises:
        BluebelltideError: With NOT_FOUND or BAD_REQUEST if a replica refused
            the order, else with OUTCOME_UNKNOWN.
    """
    method = "POST" if is_evacuated else "DELETE"
    path = ORDER_PATH + urllib.parse.quote(data_centre, safe="")
    started_s = clock()
    attempt = 0
    with httpx.Client(trust_env=False, transport=transport) as client:
        while True:
            url = urls[attempt % len(urls)]
            attempt += 1
            try:
                answer = client.request(
                    method, url + path, timeout=ATTEMPT_TIMEOUT_S
                )
            except httpx.TransportError as error:
                problem = repr(error)
            else:
                if answer.is_success:
                    return _read_acknowledgement(answer, url, attempt)
                _raise_if_refused(answer, data_centre)
                problem = f"status {answer.status_code}"
            sleep(RETRY_PAUSE_S)
            if clock() + ATTEMPT_TIMEOUT_S > started_s + SEND_FOR_S:
                raise _exceptions.BluebelltideError(
                    _exceptions.ErrorCode.OUTCOME_UNKNOWN,
                    f"no replica acknowledged the order; {url}: {problem}; "
                    "send it again",
                    data_centre,
                )


def _read_acknowledgement(
    answer: httpx.Response, url: str, attempts: int
) -> Acknowledgement:
    fields: dict[str, Any] = answer.json()
    return Acknowledgement(
        int(fields["version"]), list(fields["data_centres"]), url, attempts
    )


def _raise_if_refused(answer: httpx.Response, data_centre: str) -> None:
    if answer.status_code == httpx.codes.NOT_FOUND:
        raise _exceptions.BluebelltideError(
            _exceptions.ErrorCode.NOT_FOUND, "no such data centre", data_centre
        )
    if not answer.is_server_error:
        raise _exceptions.BluebelltideError(
            _exceptions.ErrorCode.BAD_REQUEST,
            f"the order was refused with status {answer.status_code}",
            data_centre,
        )
