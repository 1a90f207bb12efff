"""One node of the fleet: its program as a process, restarted under the same name and address."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from notchjunction.addresses import Address, text_of
from notchjunction.soak import shim
from notchjunction.soak.events import Journal, ProcessExit, Upgrade
from notchjunction.testbed.process import parse_counters

READY_TIMEOUT_S = 30.0  # for a node to be ready, on a busy machine
READY_POLL_INTERVAL_S = 0.03
KILL_DELAY_S = (
    0.7  # and the longest deadline, from SIGTERM to SIGKILL at the earliest (the protocol's figure)
)
MAX_DRAIN_S = 3.0  # of that deadline at most
LISTEN_PORT = 8080  # below the range from which the system gives out ports by itself
MANAGEMENT_PORT = 9000  # of the first process, less one; below that range, too
EXIT_POLL_INTERVAL_S = 0.005  # of a process that is to end
REPO = Path(__file__).parents[2]


def own_address(number: int) -> Address:
    """An address of the loopback network that no other run of this machine uses."""
    process = os.getpid()
    return f"127.{64 + process // 250 % 128}.{process % 250}.{number + 1}", LISTEN_PORT


async def _responds_ok(address: Address, path: str) -> bool:
    """Whether a GET of the path at this address is answered with 200."""
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError:
        return False
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n".encode())
        return b" 200 " in await reader.readline()
    except OSError:
        return False
    finally:
        writer.close()


class SoakNode:
    """A node and its current process; the journal records each end of a process."""

    def __init__(
        self, number: int, folder: Path, journal: Journal, faults: Mapping[str, Any], shares: bool = False
    ) -> None:
        """With `shares`, its processes share a folder, through which one can take over from another."""
        self.name = name = f"n{number}"
        self.listen = own_address(number)
        self._shared_folder = folder / f"{name}.shared" if shares else None
        self._starts = 0
        self.ready = False
        self.terminated_at: float | None = None  # of the current process
        self.generation = 0
        self._file = folder / f"{name}.json"
        self._log = folder / f"{name}.log"
        self._journal = journal
        self._faults = faults
        self._process: subprocess.Popen[bytes] | None = None
        self._other_process: subprocess.Popen[bytes] | None = (
            None  # the successor that starts, or the predecessor that ends
        )

    def write_config(self, config: Mapping[str, Any]) -> None:
        """Replaces the configuration file in one step."""
        written = self._file.with_suffix(".new")
        written.write_text(json.dumps({**config, "name": self.name, "listen": text_of(self.listen)}))
        written.replace(self._file)

    def start(self) -> None:
        """Starts a process."""
        self.generation += 1
        self._process = self._spawn()

    def _spawn(self) -> subprocess.Popen[bytes]:
        self._starts += 1
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "GW_CONFIG": str(self._file),
            shim.VARIABLE: json.dumps({**self._faults, "seed": f"{self.name} {self._starts}"}),
        }
        if self._shared_folder is not None:
            self._shared_folder.mkdir(exist_ok=True)
            environment |= {
                "TMPDIR": str(self._shared_folder),
                "GW_MGMT": text_of(self._management_address()),
            }
        with self._log.open("ab") as log:
            return subprocess.Popen(
                [sys.executable, "-m", "notchjunction.soak.shim"], env=environment, stderr=log, cwd=REPO
            )

    def _management_address(self) -> Address:
        """The management address of the newest process; each has its own."""
        return self.listen[0], MANAGEMENT_PORT + self._starts

    async def wait_until_ready(self) -> None:
        """Waits until the node answers that it is ready; TimeoutError after `READY_TIMEOUT_S`."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self._is_ready():
                await asyncio.sleep(READY_POLL_INTERVAL_S)
        self.ready = True

    async def _is_ready(self) -> bool:
        return await _responds_ok(self.listen, "/ready")

    async def terminate(self, longest: float) -> None:
        """Sends SIGTERM, and SIGKILL to a process that outlives the time which the protocol allows.

        Args:
            longest: The longest deadline of a request in flight, in seconds.
        """
        process = self._process
        assert process is not None
        self.ready = False
        await self._terminate(process, longest)

    async def upgrade(self, longest: float) -> None:
        """Starts the next process beside this one, and terminates this one when the other is ready."""
        old = self._process
        assert old is not None
        began = asyncio.get_running_loop().time()
        successor = self._other_process = self._spawn()
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await _responds_ok(self._management_address(), "/control/ready"):
                await asyncio.sleep(READY_POLL_INTERVAL_S)
        self._process, self._other_process = successor, old
        self._journal.upgrades.append(Upgrade(self.name, began, asyncio.get_running_loop().time()))
        await self._terminate(old, longest)
        self._other_process = None

    async def upgrade_that_fails(self, seconds: float) -> None:
        """Starts the next process beside this one and kills it `seconds` later, ready or not."""
        began = asyncio.get_running_loop().time()
        successor = self._other_process = self._spawn()
        await asyncio.sleep(seconds)
        successor.kill()
        await self._wait_until_exited(successor)
        self._other_process = None
        self._journal.upgrades.append(Upgrade(self.name, began, asyncio.get_running_loop().time()))
        self._record_end(successor.returncode)

    async def _terminate(self, process: subprocess.Popen[bytes], longest: float) -> None:
        loop = asyncio.get_running_loop()
        self.terminated_at = loop.time()
        process.send_signal(signal.SIGTERM)
        kill_at = self.terminated_at + min(longest, MAX_DRAIN_S) + KILL_DELAY_S
        while process.poll() is None and loop.time() < kill_at:
            await asyncio.sleep(EXIT_POLL_INTERVAL_S)
        if process.poll() is None:
            process.kill()
        await self._wait_until_exited(process)
        self._record_end(process.returncode)

    async def kill(self) -> None:
        """Kills the process without notice."""
        process = self._process
        assert process is not None
        self.ready = False
        process.kill()
        await self._wait_until_exited(process)
        self._record_end(process.returncode)

    async def discard(self) -> None:
        """Kills all processes at the end of the run; the journal does not record it."""
        self.ready = False
        for process in (self._process, self._other_process):
            if process is not None:
                process.kill()
                await self._wait_until_exited(process)

    async def pause(self, seconds: float) -> None:
        """Stops the process for so many seconds."""
        process = self._process
        if process is None or process.poll() is not None:
            return
        loop = asyncio.get_running_loop()
        began = loop.time()
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
        self._journal.pauses.append((began, loop.time(), self.name))

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    @property
    def has_crashed(self) -> bool:
        """Whether a ready node's process has ended by itself."""
        return self.ready and self._process is not None and self._process.poll() is not None

    def record_crash(self) -> None:
        """Records in the journal that the process has ended by itself."""
        assert self._process is not None
        self.ready = False
        self._record_end(self._process.returncode)

    def log_lines(self) -> list[str]:
        """The log so far, over all processes."""
        return self._log.read_text(errors="replace").splitlines() if self._log.exists() else []

    def counters(self) -> Mapping[str, float]:
        """The counters that were logged last."""
        return parse_counters(self.log_lines())

    def _record_end(self, exit_code: int) -> None:
        now = asyncio.get_running_loop().time()
        self._journal.process_exits.append(ProcessExit(now, self.name, self.terminated_at, exit_code))
        self.terminated_at = None

    async def _wait_until_exited(self, process: subprocess.Popen[bytes]) -> None:
        while process.poll() is None:
            await asyncio.sleep(EXIT_POLL_INTERVAL_S)
