"""One fleet under one quota whose node processes run two builds: a released commit and the code of today.

Guards against a change of the fleet's messages that nodes of the other build cannot read. While a fleet is
upgraded node by node, it would not settle, one build would get no permits, or the quota would be exceeded.
"""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
from collections import Counter
from functools import partial
from pathlib import Path

import pytest

from notchjunction.addresses import Address
from notchjunction.balancing.interface import Idempotency, RequestClass
from notchjunction.emulator.checkers import limit_held
from notchjunction.emulator.scenario import Scenario, Stream
from notchjunction.emulator.trace import FinalResponse, RequestAnswered
from notchjunction.testbed import stage as testbed_stage
from notchjunction.testbed.fleet_stage import OBSERVATION_LAG_S, FleetPart, play_fleet
from notchjunction.testbed.process import PROGRAM, NodeProcess
from tests.released_commits import LAST_COMMIT_BEFORE_RENAMING, REPOSITORY, working_tree

RELEASED_NODES = (0, 2)  # the other nodes run the code of today
TIMEOUT_S = 120.0  # for one fleet, which takes a tenth of it on an idle machine
MIN_SUCCEEDED = 10  # responses of each node; more than the quota, so its permits were granted again after use
WHICH_PACKAGE = "import notchjunction; print(notchjunction.__file__)"


class NodeProcessOfEitherBuild(NodeProcess):
    """A node process that runs the released commit if its number is one of `RELEASED_NODES`."""

    def __init__(self, released: Path, number: int, listen: Address, folder: Path) -> None:
        super().__init__(number, listen, folder)
        self._program = released if number in RELEASED_NODES else REPOSITORY

    def launch(self) -> None:
        environment = {"PATH": os.environ.get("PATH", ""), "GW_CONFIG": str(self._file)}
        package = subprocess.check_output(
            [sys.executable, "-c", WHICH_PACKAGE], env=environment, cwd=self._program, text=True
        )
        assert Path(package).parents[1] == self._program, "the package is that of another working tree"
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(PROGRAM, env=environment, stderr=log, cwd=self._program)


@pytest.mark.parametrize(
    "owners",
    [
        pytest.param((2, 2, 2, 2), id="each node owns permits"),
        pytest.param((4, 0, 4, 0), id="nodes of the released commit own all permits"),
        pytest.param((0, 4, 0, 4), id="nodes of the code of today own all permits"),
    ],
)
def test_a_fleet_of_two_builds_keeps_its_quota_and_nodes_of_both_get_permits(
    owners: tuple[int, ...], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    part = FleetPart(owners)
    scenario = Scenario(
        "two builds",
        nodes=len(owners),
        servers=4,
        workers=4,
        queue_most=60,
        length=3.0,
        profiles=(RequestClass(0.5, 1.0, 1.0, 0.0, Idempotency.IDEMPOTENT),),
        streams=(Stream(0, 20.0 * part.total_permits, work=0.1),),
        client_tries=1,
    )
    with working_tree(LAST_COMMIT_BEFORE_RENAMING, tmp_path) as released:
        process_type = partial(NodeProcessOfEitherBuild, released)
        monkeypatch.setattr(testbed_stage, "NodeProcess", process_type)
        # Returns only if each node reports that the quota has settled.
        stage, trace = asyncio.run(asyncio.wait_for(play_fleet(scenario, part, tmp_path), TIMEOUT_S))
    assert list(limit_held(trace.rows, part.total_permits, OBSERVATION_LAG_S)) == []
    answered = [row for row in trace.rows if isinstance(row, RequestAnswered)]
    assert FinalResponse.REJECTED in [row.final for row in answered]  # the traffic exceeds the quota
    succeeded = Counter(row.node for row in answered if row.final is FinalResponse.SUCCEEDED)
    assert all(succeeded[node] >= MIN_SUCCEEDED for node in range(len(owners))), succeeded
    assert len(stage.counters) == len(owners)
    for counters in stage.counters:
        unread = [name for name in counters if name.startswith("fleet_datagrams_rejected_")]
        assert unread == [] and "internal_errors" not in counters
