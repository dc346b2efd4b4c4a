"""Simulated disk with crashes, torn writes, a full disk and flipped bits."""

from __future__ import annotations

import errno
from pathlib import Path
from random import Random

from coltsfootrill.control.files import FileLayer


class SimulatedCrashError(Exception):
    """The simulated process crashed at a write step."""


class Disk(FileLayer):
    """Files in memory; changes that are not synced may or may not survive ``crash``.

    ``steps_before_crash`` is the number of write steps that still succeed; the next one crashes,
    which can leave a write half done.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self.durable: dict[Path, bytes] = {}
        self.visible: dict[Path, bytes] = {}
        self.steps_before_crash: int | None = None
        self.is_full = False
        self.step_count = 0

    def make_folder(self, folder: Path) -> None:
        self._check_space()

    def write(self, path: Path, data: bytes) -> None:
        self._check_space()
        self.visible[path] = data[: self._random.randrange(len(data) + 1)]
        self._step()
        self.visible[path] = data
        # The content is synced; the name is durable only after the folder is synced.
        self._step()

    def rename(self, source: Path, target: Path) -> None:
        self.visible[target] = self.visible.pop(source)
        self._step()

    def sync_folder(self, folder: Path) -> None:
        self._step()
        self.durable = dict(self.visible)

    def read(self, path: Path) -> bytes | None:
        return self.visible.get(path)

    def crash(self) -> None:
        """Drop a random part of the unsynced changes: each rename either persists or is lost."""
        for path in set(self.visible) | set(self.durable):
            if self._random.random() < 0.5:
                continue
            if path in self.durable:
                self.visible[path] = self.durable[path]
            else:
                self.visible.pop(path, None)
        self.durable = dict(self.visible)
        self.steps_before_crash = None

    def flip_bit(self, path: Path) -> None:
        """Change one bit of a file."""
        data = bytearray(self.visible[path])
        data[self._random.randrange(len(data))] ^= 1 << self._random.randrange(8)
        self.visible[path] = bytes(data)

    def _check_space(self) -> None:
        if self.is_full:
            raise OSError(errno.ENOSPC, "no space left on device")

    def _step(self) -> None:
        self.step_count += 1
        if self.steps_before_crash is not None:
            self.steps_before_crash -= 1
            if self.steps_before_crash < 0:
                raise SimulatedCrashError
