"""The record of a case: one line for each thing that was sent, answered or run."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Writes lines `seconds event key=value ...`, and prints the verdict."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the case began."""
        return time.monotonic() - self._started_at

    def note(self, event: str, **facts: object) -> float:
        """Writes one line, and returns its time."""
        now = self.now()
        text = " ".join(f"{name}={value}" for name, value in facts.items())
        self._file.write(f"{now:8.3f} {event} {text}".rstrip() + "\n")
        self._file.flush()
        return now

    def verdict(self, broken: list[str], held: str) -> int:
        """Writes and prints the verdict; returns the exit status: 1 if the rule was broken, else 0."""
        for text in broken or [held]:
            line = f"{'BROKEN' if broken else 'HELD'}: {text}"
            self.note(line)
            print(line)
        return 1 if broken else 0
