"""The program `bluebelltide-ctl`."""

import dataclasses
import json
import pathlib
import sys
import time
from typing import Annotated, Any
import uuid

import cyclopts
import rich
from rich import table as rich_table

import bluebelltide
from bluebelltide import _exceptions
from bluebelltide import _log_lines
from bluebelltide import _program
from bluebelltide import _tokens
from bluebelltide.catalogue import _entries
from bluebelltide.ctl import _catalogue_check
from bluebelltide.ctl import _check
from bluebelltide.ctl import _client
from bluebelltide.ctl import _evacuate
from bluebelltide.ctl import _explain
from bluebelltide.ctl import _plan

IN_FORCE_TIMEOUT_S = 9.0
"""How long `--wait` waits until a change is in force on every instance."""

app = cyclopts.App(
    name="bluebelltide-ctl",
    help="Operate bluebelltide: edit the catalogue and drain targets and "
    "instances. Exit codes: 0 success, 1 refused or failed, or warnings of "
    "`check --strict`, 2 invalid arguments or file.",
    version=bluebelltide.__version__,
)
drain_app = cyclopts.App(
    name="drain", help="Stop new work on a target or an instance."
)
undrain_app = cyclopts.App(name="undrain", help="End a drain.")
app.command(drain_app)
app.command(undrain_app)

Control = Annotated[
    tuple[str, ...],
    cyclopts.Parameter(
        name="--control",
        env_var="BLUEBELLTIDE_CONTROL",
        help="Base URL of a control replica; may be repeated.",
    ),
]
TokenFile = Annotated[
    str,
    cyclopts.Parameter(
        name="--token-file",
        env_var="BLUEBELLTIDE_TOKEN_FILE",
        help="File that holds the operator's token.",
    ),
]
AsJson = Annotated[bool, cyclopts.Parameter(name="--json", help="Print JSON.")]
Wait = Annotated[
    bool,
    cyclopts.Parameter(
        name="--wait",
        help="Wait until the change is in force on every instance.",
    ),
]
DEFAULT_CONTROL = ("http://127.0.0.1:7301",)


@cyclopts.Parameter(name="*")
@dataclasses.dataclass(frozen=True)
class Connection:
    """How a command reaches the control replicas."""

    control: Control = DEFAULT_CONTROL
    """Base URLs of control replicas."""
    token_file: TokenFile = "operator.token"
    """File that holds the operator's token."""


DEFAULT_CONNECTION = Connection()


def _open_client(connection: Connection) -> _client.ControlClient:
    try:
        token = (
            pathlib.Path(connection.token_file)
            .read_text(encoding="utf-8")
            .strip()
        )
    except OSError as error:
        raise _exceptions.BluebelltideError(
            _exceptions.ErrorCode.BAD_SETTINGS, str(error), "--token-file"
        ) from error
    return _client.ControlClient(connection.control, token)


def _print_rows(rows: list[dict[str, Any]], as_json: bool, title: str) -> None:
    if as_json:
        print(json.dumps(rows))
        return
    if not rows:
        print(f"{title}: none")
        return
    table = rich_table.Table(title=title)
    for name in rows[0]:
        table.add_column(name)
    for row in rows:
        table.add_row(*(str(value) for value in row.values()))
    rich.print(table)


@app.command
def check(
    file: str,
    *,
    against: str = "",
    strict: bool = False,
    as_json: AsJson = False,
) -> int:
    """Check a catalogue file without contacting a replica.

    Exit codes: 0 success, 1 warnings with `--strict`, 2 errors.

    Args:
        file: The catalogue, JSON with comments.
        against: The catalogue in force, as a file or as printed by `get`, to
            show what differs.
        strict: Exit with 1 for warnings.
        as_json: Print JSON.
    """
    report = _check.check_file(
        file, against, _catalogue_check.read_file, _catalogue_check.compare
    )
    _check.print_report(report, as_json)
    return _check.exit_code(report, strict)


@app.command
def diff(
    file: str,
    *,
    prune: bool = False,
    connection: Connection = DEFAULT_CONNECTION,
    as_json: AsJson = False,
) -> int:
    """Show what `apply` would change.

    Args:
        file: The catalogue, JSON with comments.
        prune: Also remove services that are not in the file.
        connection: How to reach the control replicas.
        as_json: Print JSON.
    """

    def run() -> None:
        desired = _entries.read_catalogue(file)
        client = _open_client(connection)
        current = client.request("GET", "/v1/entries")
        changes = _plan.plan_changes(desired, current, prune)
        rows = [
            {
                "change": c.kind.value,
                "key": c.key,
                "base_version": c.base_version,
            }
            for c in changes
        ]
        _print_rows(rows, as_json, "changes")

    return _program.run_and_report(run)


@app.command
def apply(
    file: str,
    *,
    prune: bool = False,
    wait: Wait = False,
    change_id: str = "",
    connection: Connection = DEFAULT_CONNECTION,
    as_json: AsJson = False,
) -> int:
    """Change the catalogue to match a file.

    Args:
        file: The catalogue, JSON with comments.
        prune: Also remove services that are not in the file.
        wait: Wait until the changes are in force on every instance.
        change_id: The id of an earlier apply, to resend it.
        connection: How to reach the control replicas.
        as_json: Print JSON.
    """

    def run() -> None:
        desired = _entries.read_catalogue(file)
        client = _open_client(connection)
        current = client.request("GET", "/v1/entries")
        changes = _plan.plan_changes(desired, current, prune)
        _apply_changes(client, changes, change_id, wait, as_json)

    return _program.run_and_report(run)


def _apply_changes(
    client: _client.ControlClient,
    changes: list[_plan.PlannedChange],
    change_id: str,
    wait: bool,
    as_json: bool,
) -> None:
    apply_id = change_id or uuid.uuid4().hex
    versions: dict[str, int] = {}
    for change in changes:
        body = {
            "change_id": f"{apply_id}/{change.key}",
            "key": change.key,
            "base_version": change.base_version,
            "value": change.value,
        }
        try:
            answer = client.request("POST", "/v1/changes", body)
        except _exceptions.BluebelltideError as error:
            error.message += f" (resend with --change-id {apply_id})"
            raise
        versions[change.key] = int(answer["version"])
    rows = [
        {"change": c.kind.value, "key": c.key, "version": versions[c.key]}
        for c in changes
    ]
    _print_rows(rows, as_json, "applied")
    if wait:
        _wait_until_in_force(client, versions, as_json)


def _wait_until_in_force(
    client: _client.ControlClient, versions: dict[str, int], as_json: bool
) -> None:
    started_s = time.monotonic()
    while True:
        instances = client.request("GET", "/v1/status")["instances"]
        lagging = [
            name
            for name, report in instances.items()
            if any(
                report["versions"].get(key, 0) < version
                for key, version in versions.items()
            )
        ]
        waited_s = time.monotonic() - started_s
        if instances and not lagging:
            break
        if waited_s > IN_FORCE_TIMEOUT_S:
            raise _exceptions.BluebelltideError(
                _exceptions.ErrorCode.NO_QUORUM,
                f"not in force after {IN_FORCE_TIMEOUT_S} s on: "
                + (", ".join(lagging) or "any instance"),
            )
        time.sleep(0.05)
    rows = [
        {"instance": name, "data_centre": report["data_centre"], "in_force": 1}
        for name, report in instances.items()
    ]
    _print_rows(rows, as_json, f"in force after {waited_s:.2f} s")


@app.command
def get(
    key: str = "",
    *,
    connection: Connection = DEFAULT_CONNECTION,
) -> int:
    """Print entries as JSON.

    Args:
        key: One entry's key; all entries if absent.
        connection: How to reach the control replicas.
    """

    def run() -> None:
        client = _open_client(connection)
        entries = client.request("GET", "/v1/entries")
        if not key:
            print(json.dumps(entries, indent=2))
            return
        if key not in entries:
            raise _exceptions.BluebelltideError(
                _exceptions.ErrorCode.NOT_FOUND, "no such entry", key
            )
        print(json.dumps(entries[key], indent=2))

    return _program.run_and_report(run)


@app.command
def status(
    *,
    connection: Connection = DEFAULT_CONNECTION,
    as_json: AsJson = False,
) -> int:
    """Show the control replicas and the instances.

    Args:
        connection: How to reach the control replicas.
        as_json: Print JSON.
    """

    def run() -> None:
        client = _open_client(connection)
        cluster = client.request("GET", "/v1/status")
        if as_json:
            print(json.dumps(cluster))
            return
        replicas = [
            {"identity": identity, "linked": identity in linked}
            for linked in [[cluster["identity"], *cluster["linked_replicas"]]]
            for identity in cluster["voters"]
        ]
        _print_rows(replicas, False, "voters")
        instances = [
            {
                "instance": name,
                "data_centre": report["data_centre"],
                "entries": len(report["versions"]),
            }
            for name, report in cluster["instances"].items()
        ]
        _print_rows(instances, False, "instances")

    return _program.run_and_report(run)


def _set_drain(
    key: str,
    value: dict[str, Any] | None,
    connection: Connection,
    wait: bool,
    as_json: bool,
) -> int:
    def run() -> None:
        client = _open_client(connection)
        current = client.request("GET", "/v1/entries")
        entry = current.get(key, {"version": 0, "value": None})
        if (entry["value"] is None) == (value is None):
            print(f"{key}: nothing to change")
            return
        kind = _plan.ChangeKind.ADD
        if value is None:
            kind = _plan.ChangeKind.REMOVE
        change = _plan.PlannedChange(kind, key, int(entry["version"]), value)
        _apply_changes(client, [change], "", wait, as_json)

    return _program.run_and_report(run)


def _make_drain_value(reason: str, operator: str) -> dict[str, Any]:
    return {"reason": reason, "operator": operator}


@drain_app.command(name="target")
def drain_target(
    service: str,
    target_id: str,
    *,
    reason: str = "planned",
    operator: str = "operator",
    wait: Wait = False,
    connection: Connection = DEFAULT_CONNECTION,
    as_json: AsJson = False,
) -> int:
    """Give a target no new work; its open flows continue.

    Args:
        service: The target's service.
        target_id: The target.
        reason: Why, for other operators.
        operator: Who requests it.
        wait: Wait until the drain is in force on every instance.
        connection: How to reach the control replicas.
        as_json: Print JSON.
    """
    key = f"{_entries.DRAIN_TARGET_PREFIX}{service}/{target_id}"
    return _set_drain(
        key, _make_drain_value(reason, operator), connection, wait, as_json
    )


@drain_app.command(name="instance")
def drain_instance(
    name: str,
    *,
    reason: str = "planned",
    operator: str = "operator",
    wait: Wait = False,
    connection: Connection = DEFAULT_CONNECTION,
    as_json: AsJson = False,
) -> int:
    """Give an instance no new flows; its open flows continue.

    Args:
        name: The instance.
        reason: Why, for other operators.
        operator: Who requests it.
        wait: Wait until the drain is in force on every instance.
        connection: How to reach the control replicas.
        as_json: Print JSON.
    """
    key = f"{_entries.DRAIN_INSTANCE_PREFIX}{name}"
    return _set_drain(
        key, _make_drain_value(reason, operator), connection, wait, as_json
    )


@undrain_app.command(name="target")
def undrain_target(
    service: str,
    target_id: str,
    *,
    wait: Wait = False,
    connection: Connection = DEFAULT_CONNECTION,
    as_json: AsJson = False,
) -> int:
    """End the drain of a target.

    Args:
        service: The target's service.
        target_id: The target.
        wait: Wait until the change is in force on every instance.
        connection: How to reach the control replicas.
        as_json: Print JSON.
    """
    key = f"{_entries.DRAIN_TARGET_PREFIX}{service}/{target_id}"
    return _set_drain(key, None, connection, wait, as_json)


@undrain_app.command(name="instance")
def undrain_instance(
    name: str,
    *,
    wait: Wait = False,
    connection: Connection = DEFAULT_CONNECTION,
    as_json: AsJson = False,
) -> int:
    """End the drain of an instance.

    Args:
        name: The instance.
        wait: Wait until the change is in force on every instance.
        connection: How to reach the control replicas.
        as_json: Print JSON.
    """
    key = f"{_entries.DRAIN_INSTANCE_PREFIX}{name}"
    return _set_drain(key, None, connection, wait, as_json)


@app.command
def voters(
    *identities: str,
    connection: Connection = DEFAULT_CONNECTION,
) -> int:
    """Change the set of replicas that vote.

    If the change is interrupted, run the same command again to complete it.

    Args:
        identities: The identities of all voters of the new set.
        connection: How to reach the control replicas.
    """

    def run() -> None:
        client = _open_client(connection)
        body = {"voters": list(identities)}
        answer = client.request("POST", "/v1/voters", body)
        print("voters: " + ", ".join(answer["voters"]))

    return _program.run_and_report(run)


@app.command
def evacuate(
    name: str,
    *,
    end: bool = False,
    connection: Connection = DEFAULT_CONNECTION,
    as_json: AsJson = False,
) -> int:
    """Send nothing new to the targets of a data centre; open flows continue.

    This is for direct deployments, whose replicas ask for no token.

    Args:
        name: The data centre.
        end: Withdraw the evacuation.
        connection: How to reach the control replicas.
        as_json: Print JSON.
    """

    def run() -> None:
        acknowledgement = _evacuate.send_order(
            connection.control, name, not end
        )
        if as_json:
            print(json.dumps(acknowledgement._asdict()))
            return
        names = ", ".join(acknowledgement.data_centres) or "none"
        print(
            f"evacuated data centres (version {acknowledgement.version}): "
            f"{names}"
        )

    return _program.run_and_report(run)


@app.command
def explain(
    *logs: str,
    request: str = "",
    flow: str = "",
    version: int | None = None,
    as_json: AsJson = False,
) -> int:
    """Show from logs what happened to a request, a flow or a change.

    Give one of the three. The logs are those of a direct deployment.

    Args:
        logs: Files with the logs of the processes, each named after one.
        request: The id of a request.
        flow: Both ends of a flow, as the logs show them.
        version: The version of a deployment.
        as_json: Print JSON.
    """

    def run() -> None:
        lines = _log_lines.read_logs(logs)
        if request:
            explanation = _explain.explain_request(lines, request)
        elif flow:
            explanation = _explain.explain_flow(lines, flow)
        elif version is not None:
            explanation = _explain.explain_change(lines, version)
        else:
            raise _exceptions.BluebelltideError(
                _exceptions.ErrorCode.BAD_SETTINGS,
                "give one of --request, --flow and --version",
            )
        if explanation is None:
            raise _exceptions.BluebelltideError(
                _exceptions.ErrorCode.NOT_FOUND, "no line of the logs names it"
            )
        _print_explanation(explanation, as_json)

    return _program.run_and_report(run)


def _print_explanation(
    explanation: _explain.Explanation, as_json: bool
) -> None:
    if as_json:
        chain = [line._asdict() for line in explanation.chain]
        print(json.dumps({"chain": chain, "findings": explanation.findings}))
        return
    first_ms = explanation.chain[0].time_ms
    rows = [
        {
            "after_ms": line.time_ms - first_ms,
            "process": line.process,
            "event": line.event,
            "fields": " ".join(
                f"{name}={value}"
                for name, value in line.fields.items()
                if name not in ("level", "channel")
            ),
        }
        for line in explanation.chain
    ]
    _print_rows(rows, False, "chain")
    for finding in explanation.findings:
        print(f"- {finding}")


@app.command(name="hash-token")
def hash_token() -> int:
    """Read a token or key from standard input and print its hash."""
    print(_tokens.hash_token(sys.stdin.read().strip()))
    return _program.EXIT_OK


def main() -> None:
    """Runs the program."""
    sys.exit(app())


if __name__ == "__main__":
    main()
