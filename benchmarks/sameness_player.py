"""Runs the recorder of one tree; `sameness` starts this file in a separate process.

    python sameness_player.py RECORDER PLAY SEEDS OUTPUT [MUTATION]

The working directory is the root of the tree, and the project is imported from there. The modules that use
no names of the project are loaded from the folder of this file, so that both trees are played with the same
scripts. From the recorder, only its dictionary `PLAYS` is used.
"""

from __future__ import annotations

import importlib.util
import runpy
import sys
from pathlib import Path
from types import ModuleType

SHARED = ("sameness_rows", "sameness_script", "sameness_fleet")


def load_shared(name: str) -> ModuleType:
    """Load a module from the folder of this file, under the name by which recorders import it."""
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
    """Play the seeds one after another and write the rows to the output file."""
    sys.path[0] = str(Path.cwd())  # instead of the folder of this file
    shared = {name: load_shared(name) for name in SHARED}
    rows = shared["sameness_rows"]
    injected = rows.Mutation(mutation) if mutation else None
    rows.install_mutation(injected)
    recording = rows.Recording(injected)
    plays = runpy.run_path(recorder)["PLAYS"]
    for seed in map(int, seeds.split(",")):
        recording.add(0.0, rows.Code.PLAY, -1, seed)
        plays[play](seed, recording)
    Path(output).write_text("".join(f"{line}\n" for line in recording.lines()))


if __name__ == "__main__":
    main(*sys.argv[1:])
