"""One connection between two processes of a node: lines of JSON both ways, open while both live."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

from notchjunction.upgrade.messages import (
    CommandMessage,
    HandoverError,
    JsonObject,
    Message,
    ResourceUsage,
    encode_line,
    parse_object,
)

# For the other process to acknowledge a command; operators wait 1 s at most.
ACK_TIMEOUT_S = 0.6
# Of one line; a list of tens of thousands of endpoints fits.
MAX_LINE_BYTES = 8 * 1024 * 1024


class ChannelError(HandoverError):
    """The channel to a peer process has failed or ended."""

    def __init__(self, what: str) -> None:
        super().__init__(what, "handover channel", "see whether the other process still runs")


class Channel:
    """The connection to one other process of the node, and what that process last reported."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer
        self.usage = ResourceUsage()
        self.is_ready = False  # whether it has reported so: it serves on when this process ends
        self._last_number = 0  # of the commands sent
        self.unacknowledged: dict[int, asyncio.Future[bool]] = {}

    @classmethod
    async def open(cls, sock: socket.socket) -> Channel:
        """The channel on a connected socket, which it owns from then on."""
        return cls(*await asyncio.open_unix_connection(sock=sock, limit=MAX_LINE_BYTES))

    def send(self, message: Message) -> None:
        """Queues a message; nothing is awaited."""
        self._writer.write(encode_line(message))

    async def receive(self) -> JsonObject:
        """The next line's object; HandoverError where the channel has ended or holds something else."""
        try:
            line = await self._reader.readline()
        except (OSError, ValueError, asyncio.LimitOverrunError) as error:
            raise ChannelError(str(error)) from error
        if not line:
            raise ChannelError("the other process closed it")
        return parse_object(line)

    async def send_command(self, command: str, value: Any) -> bool:
        """Sends an operator's command and returns whether it was acknowledged in time.

        A process that has gone has nothing left to do, and counts as one that did it.
        """
        if self._writer.is_closing():
            return True  # since it was listed among those that get the command
        self._last_number += 1
        done: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self.unacknowledged[self._last_number] = done
        self.send(CommandMessage(self._last_number, command, value))
        try:
            async with asyncio.timeout(ACK_TIMEOUT_S):
                return await done
        except TimeoutError:
            return False
        finally:
            self.unacknowledged.pop(self._last_number, None)

    def acknowledge(self, number: int) -> None:
        """The other process has done the command of this number."""
        done = self.unacknowledged.get(number)
        if done is not None and not done.done():
            done.set_result(True)

    def abort(self) -> None:
        """Ends it at once. Guards against a loop that goes on watching the number of a closed descriptor."""
        self._writer.transport.abort()

    def close(self) -> None:
        """Ends it once all is sent; commands that wait for this process wait no longer."""
        self._writer.close()
        for number in list(self.unacknowledged):
            self.acknowledge(number)
