from __future__ import annotations

from pathlib import Path

import pytest

from testing.mutants import MUTANTS
from testing.mutants import Mutant

ROOT = Path(__file__).resolve().parent.parent


class TestMutants:
    @pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.guarantee)
    def test_text_to_replace_is_unique_and_test_exists(self, mutant: Mutant) -> None:
        # A mutant whose text no longer occurs in the source would prove nothing.
        source = (ROOT / "src" / "coltsfootrill" / mutant.file).read_text()
        assert source.count(mutant.old) == 1
        path, _, name = mutant.test.partition("::")
        tests = (ROOT / path).read_text()
        if path.startswith("testing/features/"):
            tests = "\n".join(file.read_text() for file in (ROOT / path).parent.glob("*.feature"))
            words = name.removeprefix("test_").replace("_", " ")
            assert words in tests.lower().replace(",", "").replace("'", "").replace("-", "")
        else:
            assert f"class {name}:" in tests
