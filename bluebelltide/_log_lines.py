"""Structured log lines, as read from collected logs."""

from collections.abc import Iterable, Iterator
import pathlib
from typing import NamedTuple

import msgspec

from bluebelltide import _exceptions

_decode_json = msgspec.json.Decoder().decode

FieldValue = str | int | float | bool | list[object] | dict[str, object] | None


class LogLine(NamedTuple):
    """One structured line of a process's log."""

    time_ms: int
    """The time of day at which the line was written."""
    process: str
    """The process that wrote it."""
    event: str
    """The event."""
    fields: dict[str, FieldValue]
    """The other fields of the line."""

    def text(self, name: str) -> str:
        """Returns a field as text, empty if it is missing."""
        value = self.fields.get(name)
        return "" if value is None else str(value)

    def number(self, name: str) -> int:
        """Returns a field as a number, 0 if it is missing."""
        value = self.fields.get(name)
        return int(value) if isinstance(value, int | float) else 0

    def has_number(self, name: str, number: int) -> bool:
        """Returns whether a field holds a number; a missing field does not."""
        return self.fields.get(name) is not None and (
            self.number(name) == number
        )


def parse_line(text: str, process: str) -> LogLine | None:
    """Parses a line of a log.

    Args:
        text: The line. Anything before the first brace is the prefix of a log
            collector; its last word names the process.
        process: The process that wrote the line, unless it has a prefix.

    Returns:
        The line, or None if it is not a structured one.
    """
    prefix, brace, rest = text.partition("{")
    try:
        fields = _decode_json(brace + rest)
    except msgspec.DecodeError:
        return None
    if not isinstance(fields, dict):
        return None
    time_ms = fields.pop("unix_ms", None)
    event = fields.pop("event", None)
    if not isinstance(time_ms, int) or not isinstance(event, str):
        return None
    words = prefix.split()
    name = words[-1].strip(":|[]") if words else process
    return LogLine(time_ms, name, event, fields)


def read_logs(paths: Iterable[str]) -> Iterator[LogLine]:
    """Reads the structured lines of files, each named after its process.

    Args:
        paths: The files.

    Yields:
        The lines, file by file.

    Raises:
        BluebelltideError: With NOT_FOUND if a file cannot be read.
    """
    for path in map(pathlib.Path, paths):
        try:
            text = path.read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            raise _exceptions.BluebelltideError(
                _exceptions.ErrorCode.NOT_FOUND, str(error), str(path)
            ) from error
        for line in text.splitlines():
            parsed = parse_line(line, path.stem)
            if parsed is not None:
                yield parsed
