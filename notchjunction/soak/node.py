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
from notchjunction.soak.events import Journal, Killed, Upgrade
from notchjunction.testbed.process import parse_counters

READY_WITHIN = 30.0  # s for a node to answer that it is ready, on a busy machine
READY_LOOK = 0.03  # s between two looks
KILL_AFTER = 0.7  # s, and the longest deadline, from SIGTERM to SIGKILL at the earliest; the protocol's
LONGEST_MOST = 3.0  # s of that deadline at most
LISTEN_PORT = 8080  # below the range from which the system gives out ports by itself
MANAGEMENT_PORT = 9000  # of the first process, less one; below that range, too
GONE_LOOK = 0.005  # s between two looks whether a process has ended
REPO = Path(__file__).parents[2]


def own_address(number: int) -> Address:
    """An address of the loopback network that no other run of this machine uses."""
    process = os.getpid()
    return f"127.{64 + process // 250 % 128}.{process % 250}.{number + 1}", LISTEN_PORT


async def _says_yes(address: Address, path: str) -> bool:
    """Whether a process that listens there says that it is ready."""
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
    """A node and its process of the moment; the journal hears of each end."""

    def __init__(
        self, number: int, folder: Path, journal: Journal, faults: Mapping[str, Any], shares: bool = False
    ) -> None:
        """`shares`: its processes find each other in a folder, so that one can take over from another."""
        self.name = name = f"n{number}"
        self.listen = own_address(number)
        self._shared = folder / f"{name}.shared" if shares else None
        self._starts = 0
        self.ready = False
        self.terminated_at: float | None = None  # of the process that runs
        self.generation = 0
        self._file = folder / f"{name}.json"
        self._log = folder / f"{name}.log"
        self._journal = journal
        self._faults = faults
        self._process: subprocess.Popen[bytes] | None = None
        self._beside: subprocess.Popen[bytes] | None = None  # the one that starts to follow it, or that ends

    def tell(self, told: Mapping[str, Any]) -> None:
        """Writes its configuration, at one go."""
        written = self._file.with_suffix(".new")
        written.write_text(json.dumps({**told, "name": self.name, "listen": text_of(self.listen)}))
        written.replace(self._file)

    def start(self) -> None:
        self.generation += 1
        self._process = self._spawn()

    def _spawn(self) -> subprocess.Popen[bytes]:
        self._starts += 1
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "GW_CONFIG": str(self._file),
            shim.VARIABLE: json.dumps({**self._faults, "seed": f"{self.name} {self._starts}"}),
        }
        if self._shared is not None:
            self._shared.mkdir(exist_ok=True)
            environment |= {"TMPDIR": str(self._shared), "GW_MGMT": text_of(self._management())}
        with self._log.open("ab") as log:
            return subprocess.Popen(
                [sys.executable, "-m", "notchjunction.soak.shim"], env=environment, stderr=log, cwd=REPO
            )

    def _management(self) -> Address:
        """Where the newest process hears operators; each has an address of its own."""
        return self.listen[0], MANAGEMENT_PORT + self._starts

    async def wait_ready(self) -> None:
        async with asyncio.timeout(READY_WITHIN):
            while not await self._says_ready():
                await asyncio.sleep(READY_LOOK)
        self.ready = True

    async def _says_ready(self) -> bool:
        return await _says_yes(self.listen, "/ready")

    async def terminate(self, longest: float) -> None:
        """SIGTERM, and SIGKILL at the earliest that the protocol allows where it has not ended by then."""
        process = self._process
        assert process is not None
        self.ready = False
        await self._terminate(process, longest)

    async def upgrade(self, longest: float) -> None:
        """The next process starts beside this one, which gets SIGTERM at the other's yes."""
        old = self._process
        assert old is not None
        began = asyncio.get_running_loop().time()
        follower = self._beside = self._spawn()
        async with asyncio.timeout(READY_WITHIN):
            while not await _says_yes(self._management(), "/control/ready"):
                await asyncio.sleep(READY_LOOK)
        self._process, self._beside = follower, old
        self._journal.upgrades.append(Upgrade(self.name, began, asyncio.get_running_loop().time()))
        await self._terminate(old, longest)
        self._beside = None

    async def upgrade_that_fails(self, seconds: float) -> None:
        """The next process starts beside this one, and dies so many s later, before or after its yes."""
        began = asyncio.get_running_loop().time()
        follower = self._beside = self._spawn()
        await asyncio.sleep(seconds)
        follower.kill()
        await self._gone(follower)
        self._beside = None
        self._journal.upgrades.append(Upgrade(self.name, began, asyncio.get_running_loop().time()))
        self._note_end(follower.returncode)

    async def _terminate(self, process: subprocess.Popen[bytes], longest: float) -> None:
        loop = asyncio.get_running_loop()
        self.terminated_at = loop.time()
        process.send_signal(signal.SIGTERM)
        kill_at = self.terminated_at + min(longest, LONGEST_MOST) + KILL_AFTER
        while process.poll() is None and loop.time() < kill_at:
            await asyncio.sleep(GONE_LOOK)
        if process.poll() is None:
            process.kill()
        await self._gone(process)
        self._note_end(process.returncode)

    async def kill(self) -> None:
        """SIGKILL out of the blue."""
        process = self._process
        assert process is not None
        self.ready = False
        process.kill()
        await self._gone(process)
        self._note_end(process.returncode)

    async def discard(self) -> None:
        """Ends the process, if there is one, as the run is over; nothing is noted of it."""
        self.ready = False
        for process in (self._process, self._beside):
            if process is not None:
                process.kill()
                await self._gone(process)

    async def pause(self, seconds: float) -> None:
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
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    @property
    def has_crashed(self) -> bool:
        return self.ready and self._process is not None and self._process.poll() is not None

    def note_crash(self) -> None:
        assert self._process is not None
        self.ready = False
        self._note_end(self._process.returncode)

    def lines(self) -> list[str]:
        return self._log.read_text(errors="replace").splitlines() if self._log.exists() else []

    def counters(self) -> Mapping[str, float]:
        return parse_counters(self.lines())

    def _note_end(self, exit_code: int) -> None:
        now = asyncio.get_running_loop().time()
        self._journal.killed.append(Killed(now, self.name, self.terminated_at, exit_code))
        self.terminated_at = None

    async def _gone(self, process: subprocess.Popen[bytes]) -> None:
        while process.poll() is None:
            await asyncio.sleep(GONE_LOOK)
