"""The program `bluebelltide-control`."""

import sys
from typing import Annotated

import cyclopts

import bluebelltide
from bluebelltide import _exceptions
from bluebelltide import _program
from bluebelltide import _settings
from bluebelltide.control import _service

app = cyclopts.App(
    name="bluebelltide-control",
    help="Run one replica of the catalogue. Exit codes: 0 stopped on request, "
    "1 failed, 2 invalid arguments or settings.",
    version=bluebelltide.__version__,
)


@app.default
def run(
    settings: str,
    *,
    check_settings: Annotated[
        bool, cyclopts.Parameter(help="Check the settings and exit.")
    ] = False,
    create: Annotated[
        bool, cyclopts.Parameter(help="Create a new catalogue here.")
    ] = False,
) -> int:
    """Run one replica of the catalogue.

    Args:
        settings: The settings file, JSON with comments.
        check_settings: Check the settings and exit.
        create: Create a new catalogue: the replica of an empty data folder
            takes its name as its identity and may vote at once.
    """

    async def serve(parsed: _settings.Settings) -> None:
        if parsed.control is None:
            raise _exceptions.BluebelltideError(
                _exceptions.ErrorCode.BAD_SETTINGS,
                "control: expected a section, found nothing",
                settings,
            )
        await _service.serve_control(parsed, create)

    return _program.run_service(settings, check_settings, serve)


def main() -> None:
    """Runs the program."""
    sys.exit(app())


if __name__ == "__main__":
    main()
