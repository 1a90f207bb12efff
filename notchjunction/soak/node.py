"""A node of the fleet as a process, which is restarted under the same name and address."""

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

READY_TIMEOUT_S = 30.0  # long enough on a busy machine
READY_POLL_INTERVAL_S = 0.03
# After SIGTERM, a node gets SIGKILL at the earliest after the longest deadline of a request, of which at
# most MAX_DRAIN_S count, and this delay; the protocol defines it.
KILL_DELAY_S = 0.7
MAX_DRAIN_S = 3.0
LISTEN_PORT = 8080  # below the range of ephemeral ports
ADMIN_BASE_PORT = 9000  # plus the number of the process, from 1; below the range of ephemeral ports
EXIT_POLL_INTERVAL_S = 0.005
REPO = Path(__file__).parents[2]


def own_address(number: int) -> Address:
    """Returns a loopback address for a node that depends on this process's id.

    Runs at the same time on one machine thus use different addresses.
    """
    process = os.getpid()
    return f"127.{64 + process // 250 % 128}.{process % 250}.{number + 1}", LISTEN_PORT


async def _responds_ok(address: Address, path: str) -> bool:
    """Returns whether a GET of this path gets a response with status 200."""
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
    """A node and its current process; the journal records the exit of each process."""

    def __init__(
        self, number: int, folder: Path, journal: Journal, faults: Mapping[str, Any], upgrades: bool = False
    ) -> None:
        """Prepares a node without starting it.

        Args:
            number: of the node; determines its name and address.
            folder: for its configuration and its log.
            journal: records upgrades, pauses and exits.
            faults: settings of the shim.
            upgrades: its processes share a folder, through which a successor takes over.
        """
        self.name = name = f"n{number}"
        self.listen = own_address(number)
        self._shared_folder = folder / f"{name}.shared" if upgrades else None
        self._starts = 0
        self.ready = False
        self.terminated_at: float | None = None  # when SIGTERM was sent, until that process's exit
        self.generation = 0  # number of starts and restarts, without upgrades
        self._config_file = folder / f"{name}.json"
        self._log = folder / f"{name}.log"
        self._journal = journal
        self._faults = faults
        self._process: subprocess.Popen[bytes] | None = None
        # During an upgrade, the successor before it is ready, then the predecessor until its exit.
        self._other_process: subprocess.Popen[bytes] | None = None

    def write_config(self, config: Mapping[str, Any]) -> None:
        """Replaces the configuration file atomically."""
        new_file = self._config_file.with_suffix(".new")
        new_file.write_text(json.dumps({**config, "name": self.name, "listen": text_of(self.listen)}))
        new_file.replace(self._config_file)

    def start(self) -> None:
        """Starts a process."""
        self.generation += 1
        self._process = self._spawn()

    def _spawn(self) -> subprocess.Popen[bytes]:
        self._starts += 1
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "GW_CONFIG": str(self._config_file),
            shim.VARIABLE: json.dumps({**self._faults, "seed": f"{self.name} {self._starts}"}),
        }
        if self._shared_folder is not None:
            self._shared_folder.mkdir(exist_ok=True)
            environment |= {
                "TMPDIR": str(self._shared_folder),
                "GW_MGMT": text_of(self._admin_address()),
            }
        with self._log.open("ab") as log:
            return subprocess.Popen(
                [sys.executable, "-m", "notchjunction.soak.shim"], env=environment, stderr=log, cwd=REPO
            )

    def _admin_address(self) -> Address:
        """Returns the address of the newest process's admin API; each process has its own."""
        return self.listen[0], ADMIN_BASE_PORT + self._starts

    async def wait_until_ready(self) -> None:
        """Waits until the node reports that it is ready; raises TimeoutError after `READY_TIMEOUT_S`."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self._is_ready():
                await asyncio.sleep(READY_POLL_INTERVAL_S)
        self.ready = True

    async def _is_ready(self) -> bool:
        return await _responds_ok(self.listen, "/ready")

    async def terminate(self, max_deadline: float) -> None:
        """Sends SIGTERM, then SIGKILL if the process runs longer than the protocol allows.

        Args:
            max_deadline: the longest deadline of a request in flight, in seconds.
        """
        process = self._process
        assert process is not None
        self.ready = False
        await self._terminate(process, max_deadline)

    async def upgrade(self, max_deadline: float) -> None:
        """Starts the next process beside the current one, which is terminated once the next one is ready.

        Args:
            max_deadline: the longest deadline of a request in flight, in seconds.

        Raises:
            TimeoutError: the next process was not ready within `READY_TIMEOUT_S`.
        """
        predecessor = self._process
        assert predecessor is not None
        began = asyncio.get_running_loop().time()
        successor = self._other_process = self._spawn()
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await _responds_ok(self._admin_address(), "/control/ready"):
                await asyncio.sleep(READY_POLL_INTERVAL_S)
        self._process, self._other_process = successor, predecessor
        self._journal.upgrades.append(Upgrade(self.name, began, asyncio.get_running_loop().time()))
        await self._terminate(predecessor, max_deadline)
        self._other_process = None

    async def upgrade_that_fails(self, seconds: float) -> None:
        """Starts the next process beside the current one and kills it `seconds` later, ready or not."""
        began = asyncio.get_running_loop().time()
        successor = self._other_process = self._spawn()
        await asyncio.sleep(seconds)
        successor.kill()
        await self._wait_until_exited(successor)
        self._other_process = None
        self._journal.upgrades.append(Upgrade(self.name, began, asyncio.get_running_loop().time()))
        self._record_exit(successor.returncode)

    async def _terminate(self, process: subprocess.Popen[bytes], max_deadline: float) -> None:
        loop = asyncio.get_running_loop()
        self.terminated_at = loop.time()
        process.send_signal(signal.SIGTERM)
        kill_at = self.terminated_at + min(max_deadline, MAX_DRAIN_S) + KILL_DELAY_S
        while process.poll() is None and loop.time() < kill_at:
            await asyncio.sleep(EXIT_POLL_INTERVAL_S)
        if process.poll() is None:
            process.kill()
        await self._wait_until_exited(process)
        self._record_exit(process.returncode)

    async def kill(self) -> None:
        """Sends SIGKILL to the current process."""
        process = self._process
        assert process is not None
        self.ready = False
        process.kill()
        await self._wait_until_exited(process)
        self._record_exit(process.returncode)

    async def discard(self) -> None:
        """Kills all processes at the end of the run; the journal doesn't record their exits."""
        self.ready = False
        for process in (self._process, self._other_process):
            if process is not None:
                process.kill()
                await self._wait_until_exited(process)

    async def pause(self, seconds: float) -> None:
        """Stops the current process by SIGSTOP for so many seconds."""
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
        """Sends a signal to the current process, if it is running."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    @property
    def has_crashed(self) -> bool:
        """Whether the process of a ready node has exited by itself."""
        return self.ready and self._process is not None and self._process.poll() is not None

    def record_crash(self) -> None:
        """Records in the journal that the current process has exited by itself."""
        assert self._process is not None
        self.ready = False
        self._record_exit(self._process.returncode)

    def memory_mb(self) -> float:
        """Returns the memory that the node's processes use now together; of a single one, the most so far."""
        running = [process for process in (self._process, self._other_process) if process is not None]
        field = "VmHWM:" if len(running) == 1 else "VmRSS:"
        return sum(_memory_mb(process.pid, field) for process in running)

    def log_lines(self) -> list[str]:
        """Returns the lines of the node's log, to which all its processes write."""
        return self._log.read_text(errors="replace").splitlines() if self._log.exists() else []

    def counters(self) -> Mapping[str, float]:
        """Returns the counters of the last log line that has any."""
        return parse_counters(self.log_lines())

    def _record_exit(self, exit_code: int) -> None:
        now = asyncio.get_running_loop().time()
        self._journal.process_exits.append(ProcessExit(now, self.name, self.terminated_at, exit_code))
        self.terminated_at = None

    async def _wait_until_exited(self, process: subprocess.Popen[bytes]) -> None:
        while process.poll() is None:
            await asyncio.sleep(EXIT_POLL_INTERVAL_S)


def _memory_mb(process_id: int, field: str) -> float:
    """Returns a field of the process's status in MB; 0 if it has exited."""
    try:
        status = Path(f"/proc/{process_id}/status").read_text()
    except OSError:
        return 0.0
    _, found, rest = status.partition(field)
    return int(rest.split()[0]) / 1024 if found else 0.0
