"""Common start of the programs: settings, logs, errors, exit codes."""

from collections.abc import Awaitable, Callable
import signal
import sys

import anyio

from bluebelltide import _exceptions
from bluebelltide import _logs
from bluebelltide import _settings

EXIT_OK = 0
"""The program succeeded."""
EXIT_FAILED = 1
"""The program failed while running."""
EXIT_USAGE = 2
"""The arguments, the settings or the catalogue file are invalid."""

_USAGE_CODES = {
    _exceptions.ErrorCode.BAD_SETTINGS,
    _exceptions.ErrorCode.BAD_CATALOGUE,
}


def run_service(
    settings_path: str,
    check_settings: bool,
    serve: Callable[[_settings.Settings], Awaitable[None]],
) -> int:
    """Runs a long-lived program until it receives a stop signal.

    Args:
        settings_path: The path of the settings file.
        check_settings: Whether to check the settings only.
        serve: Runs the program; returns after a graceful stop.

    Returns:
        The exit code.
    """

    def run() -> None:
        settings = _settings.read_settings(settings_path)
        if check_settings:
            print(f"{settings_path}: settings are valid")
            return
        _logs.install_logs(settings.json_logs)
        anyio.run(serve, settings)

    return run_and_report(run)


def run_and_report(function: Callable[[], object]) -> int:
    """Runs a function and prints its errors.

    Args:
        function: The function to run.

    Returns:
        The exit code.
    """
    errors: list[_exceptions.BluebelltideError] = []
    try:
        function()
    except* _exceptions.BluebelltideError as group:
        errors = _flatten_errors(group)
    for error in errors:
        print(error, file=sys.stderr)
    if not errors:
        return EXIT_OK
    is_usage = any(error.code in _USAGE_CODES for error in errors)
    return EXIT_USAGE if is_usage else EXIT_FAILED


def _flatten_errors(
    group: BaseExceptionGroup[_exceptions.BluebelltideError],
) -> list[_exceptions.BluebelltideError]:
    errors = []
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            errors += _flatten_errors(error)
        else:
            errors.append(error)
    return errors


StopWaiter = Callable[[], Awaitable[None]]
"""Returns when a role should stop gracefully."""


async def wait_for_stop_signal() -> None:
    """Returns when SIGTERM or SIGINT arrives.

    A process has only one receiver of signals: a second call would replace
    the first one. So only the outermost function may call this.
    """
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            return
