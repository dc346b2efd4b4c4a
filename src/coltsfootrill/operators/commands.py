"""Implementations of the operators' commands; each returns an exit code."""

from __future__ import annotations

import json
import time
from collections.abc import Iterator
from http import HTTPStatus
from pathlib import Path
from typing import Any

from coltsfootrill.errors import ColtsfootrillError
from coltsfootrill.operators.client import CallError
from coltsfootrill.operators.client import CallReply
from coltsfootrill.operators.client import OperatorClient
from coltsfootrill.operators.client import UnreachableError
from coltsfootrill.operators.exit_codes import ExitCode
from coltsfootrill.operators.organisations import hide_keys
from coltsfootrill.operators.organisations import summarise_organisation
from coltsfootrill.operators.output import print_error
from coltsfootrill.operators.output import print_json
from coltsfootrill.operators.output import print_problems
from coltsfootrill.operators.output import print_table
from coltsfootrill.settings import Address
from coltsfootrill.settings import parse_address
from coltsfootrill.settings_catalog import CONTROL_SETTINGS
from coltsfootrill.settings_catalog import ENTRY_SETTINGS
from coltsfootrill.settings_catalog import NODE_SETTINGS

STATUS_POLL_INTERVAL_S = 0.2


class ArgumentError(ColtsfootrillError):
    """An argument of a command is invalid, or the file that it names cannot be read."""


def make_clients(addresses: list[str], *, token_file: Path, operator: str) -> list[OperatorClient]:
    """Return a client for each address; raise ``ArgumentError`` or ``CallError``."""
    return [
        OperatorClient.from_token_file(
            parse_address_argument(text), token_file=token_file, operator=operator
        )
        for text in addresses
    ]


def parse_address_argument(text: str) -> Address:
    """Return the address in a command-line argument; raise ``ArgumentError`` if it is invalid."""
    try:
        return parse_address(text)
    except ValueError as error:
        raise ArgumentError(f"{text!r} is not ip:port") from error


def submit_manifest(file: Path, clients: list[OperatorClient], *, as_json: bool) -> int:
    """Submit a manifest to the first control replica that reaches a quorum."""
    reply = call_until_decided(clients, "/manifest", read_file(file))
    if isinstance(reply, ExitCode):
        return reply
    return _print_submit_reply(reply, as_json=as_json)


def replace_replica(
    clients: list[OperatorClient], *, old: str, new: str, address: str, as_json: bool
) -> int:
    """Replace the control replica ``old`` by ``new``, which listens on ``address``."""
    request = {"old": old, "new": new, "address": str(parse_address_argument(address))}
    reply = call_until_decided(clients, "/replicas", json.dumps(request).encode())
    if isinstance(reply, ExitCode):
        return reply
    is_done = reply.status == HTTPStatus.OK
    if as_json:
        print_json(reply.body)
    elif is_done:
        print(f"replaced: {reply.body['message']}")
    else:
        print_error(_describe_refusal(reply.body))
    return ExitCode.DONE if is_done else ExitCode.REFUSED


def call_until_decided(
    clients: list[OperatorClient], path: str, body: bytes
) -> CallReply | ExitCode:
    """Send the request to one control replica after another until one accepts or refuses it.

    The operation is idempotent, so it may be repeated after a lost answer. Without a decision,
    return ``UNKNOWN`` if a replica may have carried it out, otherwise ``NO_ANSWER``.
    """
    code = ExitCode.NO_ANSWER
    for client in clients:
        try:
            reply = client.call("POST", path, body)
        except UnreachableError as error:
            print_error(str(error))
            continue
        except CallError as error:
            # The replica may have received the request before the connection failed.
            print_error(
                f"{error}; it is unknown whether the operation was carried out, a resend is safe"
            )
            code = ExitCode.UNKNOWN
            continue
        result = reply.body.get("result")
        if result not in ("no-quorum", "unknown"):
            return reply
        print_error(reply.body["message"])
        if result == "unknown":
            code = ExitCode.UNKNOWN
    return code


def _print_submit_reply(reply: CallReply, *, as_json: bool) -> int:
    body = reply.body
    is_accepted = reply.status == HTTPStatus.OK
    if as_json:
        print_json(body)
    elif body.get("result") == "invalid":
        print_problems([f"{p['where']}: {p['message']}" for p in body["problems"]], as_json=False)
    elif is_accepted:
        print(f"accepted: version {body['version']}, digest {body['digest']}")
    else:
        print_error(_describe_refusal(body))
    return ExitCode.DONE if is_accepted else ExitCode.REFUSED


def _describe_refusal(body: dict[str, Any]) -> str:
    text = f"{body.get('result', 'refused')}: {body.get('message', '')}"
    return f"{text} (its digest is {body['digest']})" if body.get("digest") else text


def show_manifest(client: OperatorClient) -> int:
    """Print the accepted manifest without the keys of organisations, which are secrets."""
    body = _fetch_manifest(client)
    if isinstance(body, ExitCode):
        return body
    print_json(hide_keys(body))
    return ExitCode.DONE


def list_organisations(client: OperatorClient, *, as_json: bool) -> int:
    """Print the organisations of the accepted manifest, without their keys."""
    body = _fetch_manifest(client)
    if isinstance(body, ExitCode):
        return body
    rows = [summarise_organisation(listed) for listed in body.get("organisations") or []]
    if as_json:
        print_json({"organisations": rows})
        return ExitCode.DONE
    print_table(
        ["organisation", "keys", "rank", "rate per s", "burst"],
        [["-" if value is None else value for value in row.values()] for row in rows],
    )
    return ExitCode.DONE


def _fetch_manifest(client: OperatorClient) -> dict[str, Any] | ExitCode:
    """Return the accepted manifest, or the exit code after an error that has been printed."""
    reply = client.call("GET", "/manifest")
    if reply.status == HTTPStatus.OK:
        body: dict[str, Any] = reply.body
        return body
    print_error(reply.body["message"])
    is_unavailable = reply.status == HTTPStatus.SERVICE_UNAVAILABLE
    return ExitCode.NO_ANSWER if is_unavailable else ExitCode.REFUSED


def show_manifest_status(
    clients: list[OperatorClient], *, wait_version: int | None, timeout_s: float, as_json: bool
) -> int:
    """Print the manifest version in force on each instance.

    With ``wait_version``, poll until every instance has that version or a later one, for at most
    ``timeout_s``.
    """
    end_s = time.monotonic() + timeout_s
    while True:
        statuses = [_fetch_status(client) for client in clients]
        is_reached = wait_version is None or all(
            status is not None and status["version"] >= wait_version for status in statuses
        )
        if is_reached or time.monotonic() >= end_s:
            break
        time.sleep(STATUS_POLL_INTERVAL_S)
    answered = [status for status in statuses if status is not None]
    if as_json:
        print_json({"instances": answered, "in_force": is_reached})
    else:
        print_table(
            ["instance", "role", "version", "digest"],
            [[s["id"], s["role"], s["version"], s["digest"][:12]] for s in answered],
        )
    if len(answered) < len(statuses):
        print_error(
            f"{len(statuses) - len(answered)} of {len(statuses)} instances did not return a status"
        )
    return ExitCode.DONE if is_reached and answered else ExitCode.NO_ANSWER


def _fetch_status(client: OperatorClient) -> dict[str, Any] | None:
    try:
        reply = client.call("GET", "/status")
    except CallError:
        return None
    return reply.body if reply.status == 200 else None


def list_upstreams(clients: list[OperatorClient], *, as_json: bool) -> int:
    """Print the upstreams; requests in flight are summed over the called instances."""
    by_id: dict[str, dict[str, Any]] = {}
    for reply in _call_all(clients, "/upstreams"):
        for upstream in reply.body["upstreams"]:
            merged = by_id.setdefault(upstream["id"], upstream)
            if merged is upstream:
                continue
            in_flight = merged["in_flight"] + upstream["in_flight"]
            if upstream["incarnation"] > merged["incarnation"]:
                merged.update(upstream)
            merged["in_flight"] = in_flight
            merged["usable"] = merged["usable"] or upstream["usable"]
    ordered = [by_id[upstream_id] for upstream_id in sorted(by_id)]
    if as_json:
        print_json({"upstreams": ordered})
        return ExitCode.DONE
    print_table(
        ["upstream", "zone", "address", "state", "usable", "in flight", "services"],
        [
            [u["id"], u["zone"], u["address"], u["state"], "yes" if u["usable"] else "no"]
            + [u["in_flight"], " ".join(u["services"])]
            for u in ordered
        ],
    )
    return ExitCode.DONE


def show_status(clients: list[OperatorClient], *, as_json: bool) -> int:
    """Print the status that each instance reports."""
    bodies = [reply.body for reply in _call_all(clients, "/status")]
    if as_json:
        print_json({"instances": bodies})
        return ExitCode.DONE
    for body in bodies:
        fields = {key: value for key, value in body.items() if not isinstance(value, list | dict)}
        print("  ".join(f"{key}={value}" for key, value in fields.items()))
    return ExitCode.DONE


def show_audit(client: OperatorClient, *, after_number: int, as_json: bool) -> int:
    """Print the records of the audit trail of one instance that follow ``after_number``."""
    reply = next(_call_all([client], f"/audit?after={after_number}"))
    records = [record for record in reply.body["records"] if record["number"] > after_number]
    if as_json:
        print_json(reply.body)
        return ExitCode.DONE
    for record in records:
        print("  ".join(f"{key}={value}" for key, value in record.items() if value != ""))
    return ExitCode.DONE


def make_settings_reference() -> str:
    """Return the reference of the settings of all roles as Markdown."""
    lines: list[str] = []
    for role, settings in (
        ("entry", ENTRY_SETTINGS),
        ("control", CONTROL_SETTINGS),
        ("node", NODE_SETTINGS),
    ):
        lines.append(f"## Role `{role}`\n")
        lines.append("| section | key | accepted | default | meaning |")
        lines.append("| --- | --- | --- | --- | --- |")
        for setting in settings:
            default = "required" if setting.default is None else setting.default or "empty"
            cells = [setting.section, setting.key, setting.accepted, default, setting.meaning]
            lines.append("| " + " | ".join(cells) + " |")
        lines.append("")
    return "\n".join(lines)


def _call_all(clients: list[OperatorClient], path: str) -> Iterator[CallReply]:
    for client in clients:
        reply = client.call("GET", path)
        if reply.status != 200:
            raise CallError(f"refused with status {reply.status}: {reply.body.get('message', '')}")
        yield reply


def read_file(file: Path) -> bytes:
    """Return the content of a file; raise ``ArgumentError`` if it cannot be read."""
    try:
        return file.read_bytes()
    except OSError as error:
        raise ArgumentError(f"cannot read {file}: {error.strerror}") from error
