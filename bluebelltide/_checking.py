"""Checks parsed JSON against a NamedTuple and reports all problems at once.

The type hints of the NamedTuple are the schema. Unknown keys are rejected.
Numbers must not be negative, and a field whose name ends in `_percent` is at
most 100.
"""

from collections.abc import Mapping
from enum import StrEnum
import types
import typing
from typing import Any, NamedTuple, TypeVar

from bluebelltide import _exceptions
from bluebelltide import _types

RecordT = TypeVar("RecordT")


class Problem(NamedTuple):
    """One invalid value in a file or request body."""

    path: str
    """The path of the value, for example `entry.fronts[0].address`."""
    expected: str
    """The kind of value that the schema requires."""
    found: str
    """The invalid value."""

    def __str__(self) -> str:
        """Returns the problem as one line for an operator."""
        return f"{self.path}: expected {self.expected}, found {self.found}"


def _add_problem(
    problems: list[Problem],
    path: str,
    expected: str,
    raw: Any,  # noqa: ANN401
) -> None:
    problems.append(Problem(path, expected, repr(raw)))


def _check_number(
    kind: type,
    raw: Any,  # noqa: ANN401
    path: str,
    problems: list[Problem],
) -> Any:  # noqa: ANN401
    accepted = (int, float) if kind is float else (int,)
    if isinstance(raw, bool) or not isinstance(raw, accepted):
        _add_problem(
            problems, path, "a number" if kind is float else "an integer", raw
        )
    elif raw < 0:
        _add_problem(problems, path, "a number of at least 0", raw)
    elif path.endswith("_percent") and raw > 100:
        _add_problem(problems, path, "a percentage of at most 100", raw)
    return raw


def _check_address(raw: Any, path: str, problems: list[Problem]) -> Any:  # noqa: ANN401
    try:
        return _types.parse_address(raw if isinstance(raw, str) else "")
    except _exceptions.BluebelltideError:
        _add_problem(
            problems, path, "an IP address and port like 127.0.0.1:80", raw
        )
        return raw


def _check_union(
    hint: Any,  # noqa: ANN401
    raw: Any,  # noqa: ANN401
    path: str,
    problems: list[Problem],
) -> Any:  # noqa: ANN401
    if raw is None:
        return None
    (inner_hint,) = [a for a in typing.get_args(hint) if a is not type(None)]
    return _check_value(inner_hint, raw, path, problems)


def _check_tuple(
    hint: Any,  # noqa: ANN401
    raw: Any,  # noqa: ANN401
    path: str,
    problems: list[Problem],
) -> Any:  # noqa: ANN401
    if not isinstance(raw, list | tuple):
        _add_problem(problems, path, "a list", raw)
        return raw
    item_hint = typing.get_args(hint)[0]
    return tuple(
        _check_value(item_hint, item, f"{path}[{index}]", problems)
        for index, item in enumerate(raw)
    )


def _check_enum(kind: Any, raw: Any, path: str, problems: list[Problem]) -> Any:  # noqa: ANN401
    try:
        return kind(raw)
    except ValueError:
        _add_problem(problems, path, "one of " + ", ".join(kind), raw)
        return raw


def _check_value(
    hint: Any,  # noqa: ANN401
    raw: Any,  # noqa: ANN401
    path: str,
    problems: list[Problem],
) -> Any:  # noqa: ANN401
    origin = typing.get_origin(hint)
    if origin in (typing.Union, types.UnionType):
        return _check_union(hint, raw, path, problems)
    if origin is tuple:
        return _check_tuple(hint, raw, path, problems)
    if hint is _types.Address:
        return _check_address(raw, path, problems)
    if issubclass(hint, StrEnum):
        return _check_enum(hint, raw, path, problems)
    if issubclass(hint, tuple):
        return _check_record(hint, raw, path, problems)
    if hint in (int, float):
        return _check_number(hint, raw, path, problems)
    if not isinstance(raw, hint):
        expected = {str: "a string", bool: "true or false"}.get(hint, str(hint))
        _add_problem(problems, path, expected, raw)
    return raw


def _check_record(
    hint: Any,  # noqa: ANN401
    raw: Any,  # noqa: ANN401
    path: str,
    problems: list[Problem],
) -> Any:  # noqa: ANN401
    if not isinstance(raw, Mapping):
        _add_problem(problems, path, "an object", raw)
        return raw
    hints = typing.get_type_hints(hint)
    prefix = f"{path}." if path else ""
    for key in raw:
        if key not in hints:
            _add_problem(
                problems, f"{prefix}{key}", "one of " + ", ".join(hints), key
            )
    values = {}
    for name, field_hint in hints.items():
        if name in raw:
            values[name] = _check_value(
                field_hint, raw[name], prefix + name, problems
            )
        elif name not in hint._field_defaults:
            problems.append(Problem(prefix + name, "a value", "nothing"))
    return hint(**values) if values.keys() >= _required_fields(hint) else raw


def _required_fields(hint: Any) -> set[str]:  # noqa: ANN401
    return set(hint._fields) - set(hint._field_defaults)


def check_record(
    record_type: type[RecordT], raw: object, path: str
) -> tuple[RecordT | None, list[Problem]]:
    """Checks a parsed value against a NamedTuple type.

    Args:
        record_type: The NamedTuple whose type hints are the schema.
        raw: The parsed JSON value.
        path: The path of the value; the path of each problem starts with it.

    Returns:
        The record, or None if there are problems; and the problems.
    """
    problems: list[Problem] = []
    record = _check_record(record_type, raw, path, problems)
    return (None if problems else record), problems


def raise_problems(
    code: _exceptions.ErrorCode, source: str, problems: list[Problem]
) -> None:
    """Raises one error that lists all problems, if there are any.

    Args:
        code: The code of the error.
        source: The name of the file or request body that was checked.
        problems: The problems that the check found.

    Raises:
        BluebelltideError: If the list is not empty.
    """
    if problems:
        lines = "\n  ".join(str(problem) for problem in problems)
        raise _exceptions.BluebelltideError(code, f"\n  {lines}", source)


def read_json_with_comments(
    path: str, code: _exceptions.ErrorCode
) -> dict[str, Any]:
    """Reads a file of JSON with comments.

    Args:
        path: The file's path.
        code: The code of the error to raise.

    Returns:
        The parsed object.

    Raises:
        BluebelltideError: If the file is missing or not a JSON object.
    """
    # Importing json5 is slow, and programs that do not read this format must
    # start fast.
    import json5

    try:
        with open(path, encoding="utf-8") as file:
            parsed = json5.load(file, allow_duplicate_keys=False)
    except (OSError, ValueError) as error:
        raise _exceptions.BluebelltideError(code, str(error), path) from error
    if not isinstance(parsed, dict):
        raise _exceptions.BluebelltideError(
            code, f"expected an object, found {type(parsed).__name__}", path
        )
    return parsed
