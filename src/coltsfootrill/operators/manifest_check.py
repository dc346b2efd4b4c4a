"""The check of a manifest before it is submitted. It contacts nobody."""

from __future__ import annotations

from pathlib import Path

from coltsfootrill.manifest.codec import InvalidManifestError
from coltsfootrill.manifest.codec import digest_manifest
from coltsfootrill.manifest.difference import list_differences
from coltsfootrill.manifest.findings import list_findings
from coltsfootrill.manifest.model import Manifest
from coltsfootrill.manifest.table import RoutingTable
from coltsfootrill.operators.commands import read_file
from coltsfootrill.operators.exit_codes import ExitCode
from coltsfootrill.operators.output import print_json
from coltsfootrill.operators.output import print_problems
from coltsfootrill.plugins import collect_schemes
from coltsfootrill.plugins import find_manifest_format
from coltsfootrill.plugins import load_plugins


class ManifestCheck:
    """The result of a check: what was found, and what differs from the manifest in force."""

    __slots__ = ("differences", "digest", "findings", "names_count", "version")

    def __init__(
        self, table: RoutingTable, *, findings: list[str], differences: list[str] | None
    ) -> None:
        self.version = table.version
        self.digest = table.digest
        self.names_count = len(table.routes_by_name)
        self.findings = findings
        self.differences = differences

    @property
    def exit_code(self) -> ExitCode:
        """Return ``QUESTIONABLE`` if anything can have no effect or contradicts itself."""
        return ExitCode.QUESTIONABLE if self.findings else ExitCode.DONE


def check_manifest(file: Path, *, against: Path | None, format_name: str, as_json: bool) -> int:
    """Check a manifest file; print its problems, or its digest, findings and differences.

    Raises ``ArgumentError`` if a file cannot be read.
    """
    try:
        check = _check(file, against, format_name)
    except InvalidManifestError as error:
        print_problems([str(problem) for problem in error.exceptions], as_json=as_json)
        return ExitCode.REFUSED
    if as_json:
        _print_json(check)
    else:
        _print_text(file, check)
    return check.exit_code


def _check(file: Path, against: Path | None, format_name: str) -> ManifestCheck:
    plugins = load_plugins()
    decode = find_manifest_format(plugins, format_name).decode
    raw = read_file(file)
    manifest: Manifest = decode(raw)
    table = RoutingTable.from_manifest(manifest, digest_manifest(raw), collect_schemes(plugins))
    findings = [str(finding) for finding in list_findings(manifest)]
    differences = None
    if against is not None:
        differences = list_differences(decode(read_file(against)), manifest)
    return ManifestCheck(table, findings=findings, differences=differences)


def _print_json(check: ManifestCheck) -> None:
    summary = {
        "version": check.version,
        "digest": check.digest,
        "names": check.names_count,
        "findings": check.findings,
    }
    if check.differences is not None:
        summary["differences"] = check.differences
    print_json(summary)


def _print_text(file: Path, check: ManifestCheck) -> None:
    print(f"{file}: valid manifest, version {check.version}, digest {check.digest}")
    for finding in check.findings:
        print(f"questionable: {finding}")
    for difference in check.differences or []:
        print(f"changed: {difference}")
