"""One connection between two processes of a node: lines of JSON both ways, open while both run."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from enum import Enum, auto
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

# For a peer process to acknowledge a command; a call of the admin API is answered within 1 s.
ACK_TIMEOUT_S = 0.6
# Length of one line; a list of tens of thousands of endpoints fits.
MAX_LINE_BYTES = 8 * 1024 * 1024


class ChannelError(HandoverError):
    """The channel to a peer process has failed or ended."""

    def __init__(self, what: str) -> None:
        super().__init__(what, "handover channel", "check whether the other process still runs")


class Reply(Enum):
    """How another process has replied to a message."""

    ACKNOWLEDGED = auto()
    DENIED = auto()
    NONE = auto()  # there was no reply in time


class Channel:
    """The connection to one other process of the node, and what that process last reported."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer
        self.usage = ResourceUsage()
        self.is_ready = False  # whether it has reported that it goes on serving when this process ends
        self._last_number = 0  # number of the last message sent that is replied to
        self.is_to_predecessor = False  # the other process served before this one joined it
        self.unanswered: dict[int, asyncio.Future[Reply]] = {}  # by the number of the message

    @classmethod
    async def open(cls, sock: socket.socket) -> Channel:
        """Returns a channel on a connected socket, which the channel owns from then on."""
        return cls(*await asyncio.open_unix_connection(sock=sock, limit=MAX_LINE_BYTES))

    def send(self, message: Message) -> None:
        """Queues a message without waiting until it is sent."""
        self._writer.write(encode_line(message))

    async def receive(self) -> JsonObject:
        """Returns the JSON object of the next line.

        Raises:
            HandoverError: The channel has ended, or the line is no JSON object.
        """
        try:
            line = await self._reader.readline()
        except (OSError, ValueError, asyncio.LimitOverrunError) as error:
            raise ChannelError(str(error)) from error
        if not line:
            raise ChannelError("the other process closed it")
        return parse_object(line)

    async def send_command(self, command: str, value: Any) -> bool:
        """Sends an operator's command and returns whether it was acknowledged in time.

        A process that has ended has nothing left to do, so its command counts as acknowledged.
        """
        reply = await self.ask(lambda number: CommandMessage(number, command, value), ACK_TIMEOUT_S)
        return reply is Reply.ACKNOWLEDGED

    async def ask(self, message_of: Callable[[int], Message], timeout: float) -> Reply:
        """Sends a message and returns the reply; a process that has ended counts as acknowledging it.

        Args:
            message_of: Returns the message that has a number.
            timeout: How long to wait for the reply, in s.
        """
        if self._writer.is_closing():
            return Reply.ACKNOWLEDGED  # it has closed since the recipients of the message were listed
        self._last_number = number = self._last_number + 1
        replied: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        self.unanswered[number] = replied
        self.send(message_of(number))
        try:
            async with asyncio.timeout(timeout):
                return await replied
        except TimeoutError:
            return Reply.NONE
        finally:
            self.unanswered.pop(number, None)

    def answered(self, number: int, reply: Reply) -> None:
        """Records the other process's reply to the message of this number."""
        replied = self.unanswered.get(number)
        if replied is not None and not replied.done():
            replied.set_result(reply)

    def abort(self) -> None:
        """Closes the channel at once.

        Guards against an event loop that goes on watching the number of a closed descriptor.
        """
        self._writer.transport.abort()

    def close(self) -> None:
        """Closes the channel once all is sent; messages without a reply count as acknowledged."""
        self._writer.close()
        for number in list(self.unanswered):
            self.answered(number, Reply.ACKNOWLEDGED)
