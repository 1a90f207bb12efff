"""The event loop that knows for how long bytes may have been unread."""

from __future__ import annotations

import selectors
import socket
import threading
import time

import pytest

from notchjunction.net.event_loop import MIN_WAIT_S, ObservedSelector


@pytest.mark.parametrize("timeout", [0, 1.0])
def test_bytes_count_as_unread_since_the_select_before_also_if_this_one_takes_long(
    timeout: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a select call that is slow, as the machine is busy, and passes for one that waited."""
    select = selectors.DefaultSelector.select

    def select_slowly(selector: selectors.DefaultSelector, timeout: float | None = None) -> object:
        time.sleep(2 * MIN_WAIT_S)
        return select(selector, timeout)

    observed = ObservedSelector()
    ours, theirs = socket.socketpair()
    with ours, theirs:
        observed.register(ours, selectors.EVENT_READ)
        observed.select(0)
        selected_at = time.monotonic()
        theirs.send(b"x")
        time.sleep(0.05)  # a turn of the loop
        monkeypatch.setattr(selectors.DefaultSelector, "select", select_slowly)
        assert observed.select(timeout)
        assert observed.ready_since <= selected_at
    observed.close()


def test_bytes_that_a_select_call_waited_for_have_only_just_come() -> None:
    observed = ObservedSelector()
    ours, theirs = socket.socketpair()
    with ours, theirs:
        observed.register(ours, selectors.EVENT_READ)
        observed.select(0)
        time.sleep(0.05)  # a turn of the loop
        waited_from = time.monotonic()
        threading.Timer(0.05, theirs.send, [b"x"]).start()
        assert observed.select(5.0)
        assert waited_from + 0.04 < observed.ready_since <= time.monotonic()
    observed.close()
