"""Known failures: they run and are printed, and nothing hides behind the list."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from tests.known_red import MOST, parse

REPO = Path(__file__).parents[1]
SUITE = """
def test_red():
    assert False

def test_green():
    pass
"""


def run(folder: Path, listed: str, *more: str) -> subprocess.CompletedProcess[str]:
    """A suite of one red and one green test, with this list of known failures."""
    (folder / "pytest.ini").write_text("[pytest]\n")
    (folder / "test_suite.py").write_text(SUITE)
    (folder / "KNOWN-RED.txt").write_text(listed)
    command = [sys.executable, "-m", "pytest", "-q", "-p", "tests.known_red", "-p", "no:cacheprovider", *more]
    environment = {"PYTHONPATH": str(REPO), "PYTEST_DISABLE_PLUGIN_AUTOLOAD": "1"}
    return subprocess.run(
        command, cwd=folder, env=environment, capture_output=True, text=True, timeout=60, check=False
    )


def test_a_known_failure_runs_is_printed_and_lets_the_suite_pass(tmp_path: Path) -> None:
    done = run(tmp_path, "# comment\ntest_suite.py::test_red | the cause | issue 1\n")
    assert done.returncode == 0, done.stdout
    assert "1 passed, 1 xfailed" in done.stdout
    assert "test_suite.py::test_red: the cause (issue 1)" in done.stdout


@pytest.mark.parametrize(
    ("listed", "says"),
    [
        ("", "1 failed, 1 passed"),  # a failure that nobody listed
        ("test_suite.py::test_green | none | issue 1\n", "XPASS(strict)"),
        ("test_suite.py::test_departed_clients | none | issue 1\n", "no such test"),
        ("test_elsewhere.py::test_red | none | issue 1\n", "no such test"),
        ("test_suite.py::test_red\n", "not of the form"),
    ],
)
def test_nothing_hides_behind_the_list(tmp_path: Path, listed: str, says: str) -> None:
    done = run(tmp_path, listed)
    assert done.returncode != 0
    assert says in done.stdout + done.stderr


def test_a_fourth_known_failure_is_refused() -> None:
    lines = [f"tests/test_a.py::test_{number} | cause | issue 1" for number in range(MOST + 1)]
    assert len(parse("\n".join(lines[:MOST]))) == MOST
    with pytest.raises(pytest.UsageError, match="3 at most"):
        parse("\n".join(lines))


def test_a_test_that_is_listed_twice_is_refused() -> None:
    with pytest.raises(pytest.UsageError, match="named twice"):
        parse("a.py::test_a | cause | issue 1\na.py::test_a | another | issue 1\n")
