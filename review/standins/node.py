"""The platform's part: a node process, started with the command of the deploy file."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import tempfile
import tomllib
from pathlib import Path
from typing import Any

from standins.http import Address, read_body, read_head, text_of
from standins.record import Record

ROOT = Path(__file__).resolve().parents[2]
READY_S = 30.0  # by the deploy page a node is ready within it


def free_address(kind: socket.SocketKind = socket.SOCK_STREAM) -> Address:
    """Returns a loopback address with a port that is free now."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(("127.0.0.1", 0))
        address: Address = sock.getsockname()
        return address


class Node:
    """One node: its configuration, and its process."""

    def __init__(self, name: str, folder: Path, record: Record) -> None:
        self.name = name
        self.listen = free_address()
        self.config: dict[str, Any] = {}
        self._record = record
        self._folder = folder / name
        self._folder.mkdir(parents=True)
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Writes the configuration and starts the process."""
        file, temporary = self._folder / "config.json", self._folder / "tmp"
        temporary.mkdir(exist_ok=True)
        file.write_text(json.dumps(self.config), encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))
        environment = {name: value for name, value in os.environ.items() if not name.startswith("GW_")}
        environment.pop("PYTHONPATH", None)
        environment |= {
            "GW_CONFIG": str(file),
            "GW_NAME": self.name,
            "GW_LISTEN": text_of(self.listen),
            "GW_DISCOVERY": self.config["discovery"],
            "TMPDIR": str(temporary),
        }
        if "mgmt" in self.config:
            environment["GW_MGMT"] = self.config["mgmt"]
        with (self._folder / "log").open("ab") as log:
            self._process = subprocess.Popen(
                ["/bin/sh", "-c", deploy["run"]], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._record.note("node started", node=self.name, pid=self._process.pid)

    async def wait_ready(self) -> None:
        """Waits until `GET /ready` answers 200."""
        async with asyncio.timeout(READY_S):
            while await get(self.listen, "/ready") is None:
                await asyncio.sleep(0.05)
        self._record.note("node ready", node=self.name)

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, unless it has ended."""
        assert self._process is not None
        if self._process.poll() is None:
            self._process.send_signal(number)
            self._record.note("signal", node=self.name, name=number.name)

    @property
    def exit_code(self) -> int | None:
        """How the process ended; None if it runs."""
        return None if self._process is None else self._process.poll()

    def end(self) -> None:
        """Kills the process, if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()

    def log(self) -> str:
        """Returns what the process has logged."""
        return (self._folder / "log").read_text(encoding="utf-8", errors="replace")


async def get(address: Address, path: str) -> bytes | None:
    """Returns the body of an answer 200 to GET; None for anything else."""
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError:
        return None
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n".encode())
        head = await read_head(reader)
        body = await read_body(reader, head.headers)
    except (OSError, asyncio.IncompleteReadError):
        return None
    finally:
        writer.close()
    return body if head.words[1] == "200" else None


def temporary_folder() -> tempfile.TemporaryDirectory[str]:
    """Returns a new folder that is removed at the end of the case."""
    return tempfile.TemporaryDirectory(prefix="review-")
