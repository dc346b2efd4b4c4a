"""The command line, as parsed by ``cyclopts``; ``ExitCode`` lists the exit codes."""

from __future__ import annotations

import getpass
import sys
from pathlib import Path
from typing import Annotated
from typing import Literal

from cyclopts import App
from cyclopts import Parameter

from coltsfootrill import __version__
from coltsfootrill.errors import ColtsfootrillError
from coltsfootrill.manifest.format import NATIVE_FORMAT
from coltsfootrill.operators import commands
from coltsfootrill.operators import zone_commands
from coltsfootrill.operators.client import CallError
from coltsfootrill.operators.client import OperatorClient
from coltsfootrill.operators.exit_codes import ExitCode
from coltsfootrill.operators.explain import explain_request
from coltsfootrill.operators.manifest_check import check_manifest as run_manifest_check
from coltsfootrill.operators.output import print_error
from coltsfootrill.operators.quota_list import list_quotas
from coltsfootrill.process import set_up_process
from coltsfootrill.roles.control import ControlRole
from coltsfootrill.roles.entry import EntryRole
from coltsfootrill.roles.node import NodeRole
from coltsfootrill.settings import InvalidSettingsError
from coltsfootrill.settings import Settings
from coltsfootrill.settings_catalog import CONTROL_SETTINGS
from coltsfootrill.settings_catalog import ENTRY_SETTINGS
from coltsfootrill.settings_catalog import NODE_SETTINGS

_SETTINGS_BY_ROLE = {
    "entry": ENTRY_SETTINGS,
    "control": CONTROL_SETTINGS,
    "node": NODE_SETTINGS,
}

app = App(
    name="coltsfootrill",
    version=__version__,
    help="A load balancer for servers whose load shifts within milliseconds.",
    help_epilogue=(
        "Exit codes: 0 done; 1 refused, nothing was changed; 2 invalid arguments or settings; "
        "3 not known whether it was done, repeat the command; 4 no answer; "
        "5 valid, but with entries that have no effect or contradict each other."
    ),
)
settings_app = App(name="settings", help="Work with settings files.")
manifest_app = App(name="manifest", help="Check, submit and follow manifests.")
app.command(settings_app)
replicas_app = App(name="replicas", help="Replace control replicas.")
app.command(manifest_app)
app.command(replicas_app)
zones_app = App(name="zones", help="Evacuate availability zones and restore them.")
app.command(zones_app)

OperatorAddress = Annotated[str, Parameter(help="Address for operators of an instance, ip:port.")]
OperatorAddresses = Annotated[
    list[str], Parameter(help="Address for operators of an instance, ip:port; repeatable.")
]
MetricsAddresses = Annotated[
    list[str], Parameter(help="Address for metrics of a node, ip:port; repeatable.")
]
TokenFile = Annotated[Path, Parameter(help="File that holds the token of operators.")]
OperatorName = Annotated[
    str | None, Parameter(help="Name recorded in the audit trail; default: the login name.")
]
AsJson = Annotated[bool, Parameter(name="--json", help="Print JSON.")]
SettingsFile = Annotated[Path, Parameter(name="--settings", help="INI file of the instance.")]


@app.command
def entry(*, settings: SettingsFile) -> int:
    """Run an entry instance until SIGTERM, then stop it gracefully."""
    set_up_process()
    return EntryRole.from_settings(Settings.from_file(settings, ENTRY_SETTINGS)).run()


@app.command
def node(*, settings: SettingsFile) -> int:
    """Run a node until SIGTERM: an entry instance that may also be a control replica.

    Only a node with a folder for persistent state can be a control replica.
    """
    set_up_process()
    return NodeRole.from_file(settings).run()


@app.command
def control(*, settings: SettingsFile) -> int:
    """Run a control replica until SIGTERM."""
    set_up_process()
    return ControlRole.from_settings(Settings.from_file(settings, CONTROL_SETTINGS)).run()


@settings_app.command
def check(file: Path, *, role: Literal["entry", "control", "node"]) -> int:
    """Check a settings file and print all problems."""
    Settings.from_file(file, _SETTINGS_BY_ROLE[role])
    print(f"{file}: valid settings for the role {role}")
    return ExitCode.DONE


@settings_app.command(name="reference")
def print_reference() -> int:
    """Print every setting of all roles as Markdown tables."""
    print(commands.make_settings_reference(), end="")
    return ExitCode.DONE


@manifest_app.command(name="check")
def check_manifest(
    file: Path,
    *,
    against: Annotated[
        Path | None, Parameter(help="File with the manifest in force, to list what differs.")
    ] = None,
    format: Annotated[
        str, Parameter(help="Name of the manifest format, a plug-in.")
    ] = NATIVE_FORMAT.name,
    json: AsJson = False,
) -> int:
    """Check a manifest without submitting it: problems, entries without effect, and changes."""
    return run_manifest_check(file, against=against, format_name=format, as_json=json)


@manifest_app.command
def submit(
    file: Path,
    *,
    at: OperatorAddresses,
    token_file: TokenFile,
    operator: OperatorName = None,
    json: AsJson = False,
) -> int:
    """Submit a manifest to a control replica; it is accepted or refused as a whole.

    If an address does not answer, the next one is tried. This is safe: a submission is idempotent.
    """
    client = _make_clients(at, token_file, operator)
    return commands.submit_manifest(file, client, as_json=json)


@manifest_app.command
def show(*, at: OperatorAddress, token_file: TokenFile) -> int:
    """Print the manifest that a majority of the control replicas has accepted."""
    return commands.show_manifest(_make_clients([at], token_file, None)[0])


@manifest_app.command(name="status")
def show_manifest_status(
    *,
    at: OperatorAddresses,
    token_file: TokenFile,
    wait: Annotated[int | None, Parameter(help="Version to wait for on every instance.")] = None,
    timeout_s: float = 30.0,
    json: AsJson = False,
) -> int:
    """Print the manifest version in force on each entry instance, or wait until all have it."""
    clients = _make_clients(at, token_file, None)
    return commands.show_manifest_status(
        clients, wait_version=wait, timeout_s=timeout_s, as_json=json
    )


@replicas_app.command(name="replace")
def replace_replica(
    *,
    old: Annotated[str, Parameter(help="Identifier of the replica to remove.")],
    new: Annotated[str, Parameter(help="Identifier of the replica to add; may be the same.")],
    address: Annotated[str, Parameter(help="Address of the replica to add, ip:port.")],
    at: OperatorAddresses,
    token_file: TokenFile,
    operator: OperatorName = None,
    json: AsJson = False,
) -> int:
    """Replace a control replica, or readmit one that lost its disk."""
    clients = _make_clients(at, token_file, operator)
    return commands.replace_replica(clients, old=old, new=new, address=address, as_json=json)


@zones_app.command(name="list")
def list_zones(*, at: OperatorAddress, token_file: TokenFile, json: AsJson = False) -> int:
    """Print the evacuated availability zones, from a control replica."""
    return zone_commands.list_zones(_make_clients([at], token_file, None)[0], as_json=json)


@zones_app.command
def evacuate(
    zone: str,
    *,
    at: OperatorAddresses,
    token_file: TokenFile,
    operator: OperatorName = None,
    json: AsJson = False,
) -> int:
    """Send nothing more to the upstreams of an availability zone; requests in progress there end.

    If a control replica does not answer, the next one is tried. This is safe: an order that is in
    force already changes nothing.
    """
    clients = _make_clients(at, token_file, operator)
    return zone_commands.order_zone(clients, "evacuate", zone, as_json=json)


@zones_app.command
def restore(
    zone: str,
    *,
    at: OperatorAddresses,
    token_file: TokenFile,
    operator: OperatorName = None,
    json: AsJson = False,
) -> int:
    """Send requests to the upstreams of an evacuated availability zone again."""
    clients = _make_clients(at, token_file, operator)
    return zone_commands.order_zone(clients, "restore", zone, as_json=json)


@app.command
def upstreams(*, at: OperatorAddresses, token_file: TokenFile, json: AsJson = False) -> int:
    """List upstreams and their requests in flight from the given entry instances.

    Give the addresses of all entry instances to see whether a leaving upstream can be stopped.
    """
    return commands.list_upstreams(_make_clients(at, token_file, None), as_json=json)


@app.command
def organisations(*, at: OperatorAddress, token_file: TokenFile, json: AsJson = False) -> int:
    """List the organisations of the accepted manifest with their limits, without their keys."""
    client = _make_clients([at], token_file, None)[0]
    return commands.list_organisations(client, as_json=json)


@app.command
def quotas(*, at: MetricsAddresses, json: AsJson = False) -> int:
    """List the quotas of organisations, their requests granted and refused, and the deciders.

    Give the addresses of all nodes to see the requests of the fleet. Keys are not shown.
    """
    clients = [
        OperatorClient(commands.parse_address_argument(text), token="", operator="") for text in at
    ]
    return list_quotas(clients, as_json=json)


@app.command
def status(*, at: OperatorAddresses, token_file: TokenFile, json: AsJson = False) -> int:
    """Print the state of instances."""
    return commands.show_status(_make_clients(at, token_file, None), as_json=json)


@app.command
def audit(
    *, at: OperatorAddress, token_file: TokenFile, after: int = 0, json: AsJson = False
) -> int:
    """Print the audit trail of an instance, oldest record first."""
    client = _make_clients([at], token_file, None)[0]
    return commands.show_audit(client, after_number=after, as_json=json)


@app.command
def explain(request_id: str, *files: Path) -> int:
    """Explain a request from the logs of instances, given as files or on standard input.

    Give the logs of all instances: the explanation counts other attempts at the same upstream.
    """
    return explain_request(request_id, files)


@app.command
def replay(
    trace: Path,
    *,
    callers: Annotated[list[str], Parameter(help="Addresses for callers of entry instances.")],
    fakes: Annotated[list[str], Parameter(help="Addresses of fake-upstreams processes.")],
    json: AsJson = False,
) -> int:
    """Replay a trace against running entry instances and check the outcomes it expects."""
    # An instance needs neither the replay nor its fake upstreams: they are imported on use.
    from coltsfootrill.replay.command import replay_trace  # noqa: PLC0415

    return replay_trace(trace, callers=callers, fakes=fakes, as_json=json)


@app.command(name="measure-added")
def measure_added(
    *,
    callers: Annotated[
        list[str], Parameter(help="Callers' addresses of the instances to compare.")
    ],
    fakes: Annotated[list[str], Parameter(help="Addresses of fake-upstreams processes.")],
    requests: int = 1_000,
    rate: float = 100.0,
    json: AsJson = False,
) -> int:
    """Measure the latency that each address adds to a direct call.

    The calls to all addresses are interleaved in one run.
    """
    from coltsfootrill.replay.added_latency import measure_added_latency  # noqa: PLC0415

    return measure_added_latency(
        callers=callers, fakes=fakes, requests=requests, rate=rate, as_json=json
    )


@app.command(name="baseline-forwarder")
def baseline_forwarder(
    *,
    listen: str,
    upstream: Annotated[list[str], Parameter(help="Address of an upstream, ip:port; repeatable.")],
    duration_s: float = 600.0,
) -> int:
    """Run a minimal forwarder, the baseline for added latency, for a limited time."""
    from coltsfootrill.replay.baseline import run_baseline  # noqa: PLC0415

    return run_baseline(commands.parse_address_argument(listen), upstream, duration_s)


@app.command(name="make-trace")
def make_trace(
    file: Path,
    *,
    workload: Literal["heraldic", "rota"],
    seed: int = 1,
    duration_s: float = 10.0,
    rate: float = 100.0,
    faults: bool = True,
) -> int:
    """Write a trace of a workload, generated from a seed."""
    from coltsfootrill.replay.command import write_trace  # noqa: PLC0415

    return write_trace(
        file, workload=workload, seed=seed, duration_s=duration_s, rate=rate, with_faults=faults
    )


@app.command(name="make-manifest")
def make_manifest(file: Path, *, version: int = 1) -> int:
    """Write a manifest for the services of both workloads."""
    from coltsfootrill.replay.command import write_manifest  # noqa: PLC0415

    return write_manifest(file, version=version)


@app.command(name="fake-upstreams")
def fake_upstreams(
    *,
    zone: str,
    control_port: int,
    first_port: int,
    announce_to: Annotated[
        list[str], Parameter(help="Address for announcements, ip:port; repeatable.")
    ],
    token_file: TokenFile,
    share: Annotated[
        str, Parameter(help="Part of all upstreams to run, such as 0/3 for the first of three.")
    ] = "0/1",
    duration_s: float = 600.0,
    seed: int = 1,
    work_factor: Annotated[float, Parameter(help="Factor on the duration of work.")] = 1.0,
    copies: Annotated[int, Parameter(help="Factor on the number of upstreams.")] = 1,
) -> int:
    """Run fake upstreams of both workloads on loopback, for a limited time."""
    from coltsfootrill.replay.command import run_fake_upstreams  # noqa: PLC0415

    return run_fake_upstreams(
        zone=zone,
        control_port=control_port,
        first_port=first_port,
        announce_to=announce_to,
        token_file=token_file,
        share=share,
        duration_s=duration_s,
        seed=seed,
        work_factor=work_factor,
        copies=copies,
    )


def _make_clients(
    addresses: list[str], token_file: Path, operator: str | None
) -> list[OperatorClient]:
    return commands.make_clients(
        addresses, token_file=token_file, operator=operator or getpass.getuser()
    )


def main() -> None:
    """Run the command line and exit with its exit code."""
    try:
        result = app(result_action="return_value")
    except InvalidSettingsError as error:
        for problem in error.exceptions:
            print_error(str(problem))
        sys.exit(ExitCode.USAGE)
    except CallError as error:
        print_error(str(error))
        sys.exit(ExitCode.NO_ANSWER)
    except ColtsfootrillError as error:
        print_error(str(error))
        sys.exit(ExitCode.USAGE)
    sys.exit(int(result or 0))
