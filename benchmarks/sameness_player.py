"""Runs one recorder against one tree in a process of its own; started by `sameness`, by path.

    python sameness_player.py RECORDER PLAY SEEDS OUTPUT [MUTATION]

The tree is the working directory. Its project is imported from there, but the modules that know no project
names come from beside this file, so that both trees are played by the same scripts.
"""

from __future__ import annotations

import importlib.util
import runpy
import sys
from pathlib import Path
from types import ModuleType

SHARED = ("sameness_rows", "sameness_script", "sameness_fleet")


def load_shared(name: str) -> ModuleType:
    """The module beside this file, known by the name under which a recorder imports it."""
    qualified = f"benchmarks.{name}"
    spec = importlib.util.spec_from_file_location(qualified, Path(__file__).with_name(f"{name}.py"))
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    sys.modules[qualified] = module
    spec.loader.exec_module(module)
    package = importlib.import_module("benchmarks")
    setattr(package, name, module)
    return module


def main(recorder: str, play: str, seeds: str, output: str, mutation: str = "") -> None:
    """Plays the seeds one after another and writes the rows."""
    sys.path[0] = str(Path.cwd())  # in place of this file's folder
    shared = {name: load_shared(name) for name in SHARED}
    rows = shared["sameness_rows"]
    planted = rows.Mutation(mutation) if mutation else None
    rows.plant(planted)
    recording = rows.Recording(planted)
    plays = runpy.run_path(recorder)["PLAYS"]
    for seed in map(int, seeds.split(",")):
        recording.add(0.0, rows.Code.PLAY, -1, seed)
        plays[play](seed, recording)
    Path(output).write_text("".join(f"{line}\n" for line in recording.lines()))


if __name__ == "__main__":
    main(*sys.argv[1:])
