"""A pytest plugin for KNOWN-RED.txt: tests that fail for a real fault which is not mended yet.

Each line of the file is `test | cause | issue`. Those tests run, and are printed; the run fails where one of
them passes, where a name is unknown, or where there are more than three.
"""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

import pytest

FILE = "KNOWN-RED.txt"
MOST = 3  # known failures at once; more are a state that must not land


class KnownRed(NamedTuple):
    """One line of the file."""

    test: str
    cause: str
    issue: str


def parse(text: str) -> list[KnownRed]:
    """The lines of the file; pytest.UsageError where one is malformed, repeated, or past the third."""
    found: list[KnownRed] = []
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != len(KnownRed._fields) or not all(parts):
            raise pytest.UsageError(f"{FILE}: not of the form 'test | cause | issue': {line}")
        found.append(KnownRed(*parts))
    if len(found) > MOST:
        raise pytest.UsageError(f"{FILE}: {len(found)} known failures, {MOST} at most")
    if len({row.test for row in found}) < len(found):
        raise pytest.UsageError(f"{FILE}: a test is named twice")
    return found


def matching(row: KnownRed, items: Sequence[pytest.Item]) -> list[pytest.Item]:
    """The collected tests of that name, with all their parameters."""
    return [item for item in items if item.nodeid == row.test or item.nodeid.startswith(f"{row.test}[")]


def _read(config: pytest.Config) -> list[KnownRed]:
    file = Path(config.rootpath) / FILE
    return parse(file.read_text(encoding="utf-8")) if file.exists() else []


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    collected = {item.nodeid.partition("::")[0] for item in items}
    for row in _read(config):
        found = matching(row, items)
        file = row.test.partition("::")[0]
        # A run of some files alone says nothing of names in the others, but that those files are there.
        if not found and (file in collected or not (Path(config.rootpath) / file).exists()):
            raise pytest.UsageError(f"{FILE}: no such test: {row.test}")
        for item in found:
            item.add_marker(pytest.mark.xfail(reason=f"{row.cause} ({row.issue})", strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    rows = _read(config)
    if rows:
        terminalreporter.section("known failures")
        for row in rows:
            terminalreporter.write_line(f"{row.test}: {row.cause} ({row.issue})")
