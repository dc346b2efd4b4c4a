from __future__ import annotations

import socket
import subprocess
import sys
import threading
from pathlib import Path

from coltsfootrill.operators.commands import make_settings_reference

ROOT = Path(__file__).parent.parent.parent


def _run(*arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "coltsfootrill", *arguments]
    return subprocess.run(command, capture_output=True, text=True, check=False)


class TestSettingsReference:
    def test_the_settings_page_matches_the_settings_in_the_code(self) -> None:
        page = (ROOT / "docs/operators/settings.md").read_text()
        assert page.endswith(make_settings_reference())


class TestExitCodes:
    def test_a_valid_manifest_exits_0_and_an_invalid_one_1_with_all_problems(
        self, tmp_path: Path, encode_manifest: object
    ) -> None:
        path = tmp_path / "m.json"
        path.write_bytes(encode_manifest())  # type: ignore[operator]
        assert _run("manifest", "check", str(path)).returncode == 0
        path.write_bytes(encode_manifest(deadline_ms=0, names=[]))  # type: ignore[operator]
        result = _run("manifest", "check", str(path))
        assert result.returncode == 1
        assert "deadline_ms" in result.stderr and "names" in result.stderr

    def test_invalid_settings_exit_2_with_all_problems(self, tmp_path: Path) -> None:
        path = tmp_path / "e.ini"
        path.write_text("[instance]\nid = Bad Name\nzone = z1\nsurprise = 1\n")
        result = _run("settings", "check", str(path), "--role", "entry")
        assert result.returncode == 2
        for part in ("[instance] id = 'Bad Name'", "surprise", "[callers] listen = missing"):
            assert part in result.stderr

    def test_an_unreachable_instance_exits_4(self, tmp_path: Path) -> None:
        token = tmp_path / "t"
        token.write_text("x" * 16)
        manifest = tmp_path / "m.json"
        manifest.write_text("{}")
        options = ["--at", "127.0.0.1:1", "--token-file", str(token)]
        assert _run("manifest", "submit", str(manifest), *options).returncode == 4

    def test_a_lost_answer_exits_3_and_says_that_a_resend_is_safe(self, tmp_path: Path) -> None:
        token = tmp_path / "t"
        token.write_text("x" * 16)
        manifest = tmp_path / "m.json"
        manifest.write_text("{}")
        with socket.create_server(("127.0.0.1", 0)) as listener:
            threading.Thread(target=lambda: listener.accept()[0].close(), daemon=True).start()
            at = f"127.0.0.1:{listener.getsockname()[1]}"
            options = ["--at", at, "--token-file", str(token)]
            result = _run("manifest", "submit", str(manifest), *options)
        assert result.returncode == 3
        assert "resend is safe" in result.stderr

    def test_help_names_every_command(self) -> None:
        text = _run("--help").stdout
        for command in ("entry", "control", "manifest", "upstreams", "status", "audit", "replay"):
            assert command in text
