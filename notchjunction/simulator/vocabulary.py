"""The wire's words as the interface's types; the settings are read in terms.py."""

from __future__ import annotations

from collections.abc import Sequence

from notchjunction.balancing.interface import Load, News, Result
from notchjunction.config import settings
from notchjunction.discovery.endpoints import Presence

RESULTS = {
    "done": Result.HONOURED,
    "err": Result.ERROR,
    "busy": Result.FULL,
    "etimedout": Result.TIMED_OUT,
    "econnrefused": Result.NO_CONNECTION,
    "econnreset": Result.RESET,
    "ecanceled": Result.RECALLED,
    "skipped": Result.NEVER_SENT,
}
PRESENCES = {"on": Presence.READY, "fading": Presence.DRAINING, "off": Presence.GONE}
NEWS = {"patch": News.CHANGES, "whole": News.WHOLE, "stale_copy": News.REMEMBERED, "broken": News.FAILED}


def load(fields: Sequence[str], row: str | None) -> Load | None:
    """A report row; a value that is missing or unreadable stays unknown."""
    return settings.load(dict(zip(fields, row.split(","), strict=False))) if row else None
