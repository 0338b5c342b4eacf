"""A client of the control API that retries requests."""

from collections.abc import Sequence
import time
from typing import Any

import httpx

from bluebelltide import _exceptions

MAXIMUM_ATTEMPTS = 4
"""The maximum number of times that a request is sent, over all replicas."""
ATTEMPT_TIMEOUT_S = 6.0
"""The timeout of one attempt."""
RETRY_PAUSE_S = 0.2
"""The pause between two attempts."""

_RESEND_CODES = {
    _exceptions.ErrorCode.NO_QUORUM,
    _exceptions.ErrorCode.OUTCOME_UNKNOWN,
}


class ControlClient:
    """Sends each request to the replicas in turn until one answers.

    A change keeps its id when it is resent, so that it is not applied twice
    if only the answer was lost.
    """

    def __init__(self, urls: Sequence[str], token: str) -> None:
        """Creates the client.

        Args:
            urls: Base URLs of the control replicas.
            token: The operator's bearer token.
        """
        self._urls = list(urls)
        self._http = httpx.Client(
            headers={"authorization": f"Bearer {token}"},
            timeout=ATTEMPT_TIMEOUT_S,
            trust_env=False,
        )

    def close(self) -> None:
        """Closes the connections."""
        self._http.close()

    def request(self, method: str, path: str, body: Any = None) -> Any:  # noqa: ANN401
        """Sends a request and returns the answer's body.

        Args:
            method: The HTTP method.
            path: The path below the base URL.
            body: The JSON body, or None.

        Returns:
            The parsed answer.

        Raises:
            BluebelltideError: With the code of the replica's answer, or
                OUTCOME_UNKNOWN if no replica answered.
        """
        error = _exceptions.BluebelltideError(
            _exceptions.ErrorCode.OUTCOME_UNKNOWN,
            "no control replica answered",
            ", ".join(self._urls),
        )
        for attempt in range(MAXIMUM_ATTEMPTS):
            url = self._urls[attempt % len(self._urls)]
            try:
                answer = self._http.request(method, url + path, json=body)
            except httpx.TransportError:
                time.sleep(RETRY_PAUSE_S)
                continue
            if answer.is_success:
                return answer.json()
            error = _parse_error(answer)
            if error.code not in _RESEND_CODES:
                break
            time.sleep(RETRY_PAUSE_S)
        raise error


def _parse_error(answer: httpx.Response) -> _exceptions.BluebelltideError:
    try:
        raw = answer.json()
        code = _exceptions.ErrorCode(raw["code"])
        return _exceptions.BluebelltideError(
            code, str(raw["message"]), str(raw["place"])
        )
    except (ValueError, KeyError, TypeError):
        return _exceptions.BluebelltideError(
            _exceptions.ErrorCode.OUTCOME_UNKNOWN,
            f"unexpected answer with status {answer.status_code}",
            str(answer.url),
        )
