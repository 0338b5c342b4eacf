"""Configures the log of a process: one line per record, text or JSON."""

import json
import sys

import logbook

TEXT_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name} "
    "{record.channel} {record.message}"
)


def _format_json(record: logbook.LogRecord, handler: object) -> str:
    del handler
    line = {
        "time": record.time.isoformat(),
        "level": record.level_name.lower(),
        "channel": record.channel,
        "message": record.message,
    }
    return json.dumps({**line, **record.extra})


def install_logs(as_json: bool) -> None:
    """Writes the process's log lines to standard error.

    Args:
        as_json: Whether each line is a JSON object.
    """
    handler = logbook.StreamHandler(sys.stderr, level=logbook.INFO)
    if as_json:
        handler.formatter = _format_json
    else:
        handler.format_string = TEXT_FORMAT
    handler.push_application()
