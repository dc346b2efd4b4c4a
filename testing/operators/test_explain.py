from __future__ import annotations

import subprocess
import sys
from pathlib import Path

ENDED = (
    '{"at_ms":1764836000123,"instance":"n1","event":"request-ended","id":"q1","service":"desk",'
    '"kind":"k","manifest":3,"status":"502 Bad Gateway","outcome":"unknown","reason":"lost",'
    '"took_ms":67.3,"deadline_ms":1000.0,"attempts":[{"upstream":"u1","after_ms":0.1,'
    '"took_ms":67.0,"result":"lost"}]}\n'
)
EJECTED = (
    '{"at_ms":1764836000100,"instance":"n1","event":"upstream-ejected","upstream":"u1",'
    '"service":"desk","for_ms":250.0}\n'
)


def _run(*arguments: str, text: str = "") -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "coltsfootrill", "explain", *arguments]
    return subprocess.run(command, input=text, capture_output=True, text=True, check=False)


class TestExplain:
    def test_events_of_several_files_explain_a_request(self, tmp_path: Path) -> None:
        first, second = tmp_path / "1.log", tmp_path / "2.log"
        first.write_text(ENDED)
        second.write_text(EJECTED)
        result = _run("q1", str(first), str(second))
        assert result.returncode == 0
        for part in (
            "502 Bad Gateway: unknown lost",
            "took 67.3 of 1000 ms",
            "upstream-ejected upstream=u1",
            "cause: The connection to u1 (attempt 1) ended after 67 ms",
        ):
            assert part in result.stdout

    def test_connections_and_skipped_answers_of_attempts_are_printed(self) -> None:
        more = '"result":"lost","connection":41,"earlier_requests":3,"skipped":2,"surplus":true'
        lines = _run("q1", text=ENDED.replace('"result":"lost"', more)).stdout.splitlines()
        names = lines[lines.index("attempts") + 1].split()
        values = lines[lines.index("attempts") + 2].split()
        assert names[-4:] == ["connection", "earlier_requests", "skipped", "surplus"]
        assert values[-4:] == ["41", "3", "2", "True"]

    def test_standard_input_is_read_without_files(self) -> None:
        assert "manifest 3" in _run("q1", text=ENDED).stdout

    def test_an_unknown_id_is_reported_with_the_reasons_for_missing_lines(self) -> None:
        result = _run("q2", text=ENDED)
        assert result.returncode == 1
        assert (
            "'q2'" in result.stderr
            and "ordinary answers have no line of their own" in result.stderr
        )

    def test_an_unreadable_file_is_reported(self, tmp_path: Path) -> None:
        result = _run("q1", str(tmp_path / "none.log"))
        assert result.returncode == 2
        assert "none.log" in result.stderr

    def test_unreadable_lines_are_counted(self) -> None:
        result = _run("q1", text=ENDED + ENDED[:40])
        assert result.returncode == 0
        assert "1 lines could not be read" in result.stderr
