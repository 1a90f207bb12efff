"""Maps words of the simulator's protocol to the balancer's types; config/settings.py reads the settings."""

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
ENDPOINT_STATES = {"on": EndpointState.ACTIVE, "fading": EndpointState.DRAINING, "off": EndpointState.REMOVED}
LIST_UPDATES = {
    "patch": ListUpdate.CHANGES,
    "whole": ListUpdate.SNAPSHOT,
    "stale_copy": ListUpdate.CACHED,
    "broken": ListUpdate.FAILED,
}


def read_load_report(fields: Sequence[str], text: str | None) -> LoadReport | None:
    """Return the load report in a text, whose values are separated by commas in the order of `fields`.

    A value that is missing or malformed stays unknown. The result is None without a report.
    """
    return settings.read_load_report(dict(zip(fields, text.split(","), strict=False))) if text else None
