"""Working trees of released commits, for tests that run two releases of the program side by side."""

from __future__ import annotations

import subprocess
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

REPOSITORY = Path(__file__).parent.parent
FIRST_COMMIT = "98f791a"  # the earliest release that today's program can take over from
LAST_COMMIT_BEFORE_RENAMING = "7503b55"  # the newest release before most names in the source changed


def git(*arguments: str | Path) -> subprocess.CompletedProcess[str]:
    return subprocess.run(["git", "-C", REPOSITORY, *arguments], capture_output=True, text=True, timeout=60)


@contextmanager
def working_tree(commit: str, folder: Path) -> Iterator[Path]:
    """Checks the commit out in this folder, and removes that again; skips the test if the clone lacks it."""
    if git("cat-file", "-e", f"{commit}^{{commit}}").returncode != 0:
        pytest.skip(f"commit {commit} is not in this clone's history")
    tree = folder / f"commit-{commit}"
    added = git("worktree", "add", "--detach", tree, commit)
    assert added.returncode == 0, added.stderr
    try:
        yield tree
    finally:
        removed = git("worktree", "remove", "--force", tree)
        assert removed.returncode == 0, removed.stderr
