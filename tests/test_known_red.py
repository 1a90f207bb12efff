"""The list of known failures: its tests run and are printed, and the list conceals no other failure."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from tests.known_red import MAX_KNOWN_RED, parse

REPO = Path(__file__).parents[1]
SUITE = """
def test_red():
    assert False

def test_green():
    pass
"""


def run_suite(folder: Path, known_red: str, *options: str) -> subprocess.CompletedProcess[str]:
    """Run a suite of one failing and one passing test with this content of KNOWN-RED.txt."""
    (folder / "pytest.ini").write_text("[pytest]\n")
    (folder / "test_suite.py").write_text(SUITE)
    (folder / "KNOWN-RED.txt").write_text(known_red)
    command = [
        sys.executable,
        "-m",
        "pytest",
        "-q",
        "-p",
        "tests.known_red",
        "-p",
        "no:cacheprovider",
        *options,
    ]
    environment = {"PYTHONPATH": str(REPO), "PYTEST_DISABLE_PLUGIN_AUTOLOAD": "1"}
    return subprocess.run(
        command, cwd=folder, env=environment, capture_output=True, text=True, timeout=60, check=False
    )


def test_a_known_failure_runs_and_is_printed_and_the_suite_passes(tmp_path: Path) -> None:
    completed = run_suite(tmp_path, "# comment\ntest_suite.py::test_red | the cause | issue 1\n")
    assert completed.returncode == 0, completed.stdout
    assert "1 passed, 1 xfailed" in completed.stdout
    assert "test_suite.py::test_red: the cause (issue 1)" in completed.stdout


@pytest.mark.parametrize(
    ("known_red", "message"),
    [
        ("", "1 failed, 1 passed"),  # a failure that is not listed
        ("test_suite.py::test_green | none | issue 1\n", "XPASS(strict)"),
        ("test_suite.py::test_departed_clients | none | issue 1\n", "no such test"),
        ("test_elsewhere.py::test_red | none | issue 1\n", "no such test"),
        ("test_suite.py::test_red\n", "not of the form"),
    ],
)
def test_unlisted_failures_and_invalid_lists_fail_the_run(
    tmp_path: Path, known_red: str, message: str
) -> None:
    completed = run_suite(tmp_path, known_red)
    assert completed.returncode != 0
    assert message in completed.stdout + completed.stderr


def test_a_fourth_known_failure_is_rejected() -> None:
    lines = [f"tests/test_a.py::test_{number} | cause | issue 1" for number in range(MAX_KNOWN_RED + 1)]
    assert len(parse("\n".join(lines[:MAX_KNOWN_RED]))) == MAX_KNOWN_RED
    with pytest.raises(pytest.UsageError, match="3 at most"):
        parse("\n".join(lines))


def test_a_test_that_is_listed_twice_is_rejected() -> None:
    with pytest.raises(pytest.UsageError, match="named twice"):
        parse("a.py::test_a | cause | issue 1\na.py::test_a | another | issue 1\n")
