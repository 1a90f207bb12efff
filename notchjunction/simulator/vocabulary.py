"""The wire's words as the interface's types; the settings are read in terms.py."""

from __future__ import annotations

from collections.abc import Sequence

from notchjunction.balancing.interface import AttemptResult, ListUpdate, LoadReport
from notchjunction.config import settings
from notchjunction.discovery.endpoints import EndpointState

RESULTS = {
    "done": AttemptResult.SUCCEEDED,
    "err": AttemptResult.ERROR,
    "busy": AttemptResult.REJECTED,
    "etimedout": AttemptResult.TIMED_OUT,
    "econnrefused": AttemptResult.NO_CONNECTION,
    "econnreset": AttemptResult.RESET,
    "ecanceled": AttemptResult.CANCELLED,
    "skipped": AttemptResult.NOT_SENT,
}
PRESENCES = {"on": EndpointState.ACTIVE, "fading": EndpointState.DRAINING, "off": EndpointState.REMOVED}
NEWS = {
    "patch": ListUpdate.CHANGES,
    "whole": ListUpdate.SNAPSHOT,
    "stale_copy": ListUpdate.CACHED,
    "broken": ListUpdate.FAILED,
}


def load(fields: Sequence[str], row: str | None) -> LoadReport | None:
    """A report row; a value that is missing or unreadable stays unknown."""
    return settings.read_load_report(dict(zip(fields, row.split(","), strict=False))) if row else None
