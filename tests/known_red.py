"""A pytest plugin for KNOWN-RED.txt: tests that fail because of a real fault that is not fixed yet.

Each line of the file is `test | cause | issue`. Those tests run and are printed as expected failures. The run
fails if one of them passes, if a name is unknown, or if there are more than three.
"""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

import pytest

FILE_NAME = "KNOWN-RED.txt"
MAX_KNOWN_RED = 3  # a branch with more known failures must not be merged


class KnownRed(NamedTuple):
    """One row of the file."""

    test: str
    cause: str
    issue: str


def parse(text: str) -> list[KnownRed]:
    """Return the rows of the file; raise pytest.UsageError for malformed, repeated or too many rows."""
    rows: list[KnownRed] = []
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != len(KnownRed._fields) or not all(parts):
            raise pytest.UsageError(f"{FILE_NAME}: not of the form 'test | cause | issue': {line}")
        rows.append(KnownRed(*parts))
    if len(rows) > MAX_KNOWN_RED:
        raise pytest.UsageError(f"{FILE_NAME}: {len(rows)} known failures, {MAX_KNOWN_RED} at most")
    if len({row.test for row in rows}) < len(rows):
        raise pytest.UsageError(f"{FILE_NAME}: a test is named twice")
    return rows


def matching_tests(row: KnownRed, items: Sequence[pytest.Item]) -> list[pytest.Item]:
    """Return the collected tests of that name, with all their parameters."""
    return [item for item in items if item.nodeid == row.test or item.nodeid.startswith(f"{row.test}[")]


def _read(config: pytest.Config) -> list[KnownRed]:
    path = Path(config.rootpath) / FILE_NAME
    return parse(path.read_text(encoding="utf-8")) if path.exists() else []


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    collected = {item.nodeid.partition("::")[0] for item in items}
    for row in _read(config):
        tests = matching_tests(row, items)
        path = row.test.partition("::")[0]
        # If only some files are collected, names in other files can't be checked: only that the file exists.
        if not tests and (path in collected or not (Path(config.rootpath) / path).exists()):
            raise pytest.UsageError(f"{FILE_NAME}: no such test: {row.test}")
        for item in tests:
            item.add_marker(pytest.mark.xfail(reason=f"{row.cause} ({row.issue})", strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    rows = _read(config)
    if rows:
        terminalreporter.section("known failures")
        for row in rows:
            terminalreporter.write_line(f"{row.test}: {row.cause} ({row.issue})")
