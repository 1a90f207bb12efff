"""Formats log records as lines of key=value pairs."""

from __future__ import annotations

import logging
import sys
from typing import Any


def quoted(value: object) -> str:
    """Returns a value as text, quoted and escaped if its end would be ambiguous otherwise."""
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    if text and all(char.isprintable() and char not in ' ="\\' for char in text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n").replace("\r", "\\r")
    return f'"{escaped}"'


class KeyValueFormatter(logging.Formatter):
    """Formats a record as one line: time, level, event, then the record's own pairs."""

    def format(self, record: logging.LogRecord) -> str:
        """Returns the record as one line, without a newline."""
        pairs: dict[str, Any] = {
            "time": f"{record.created:.3f}",
            "level": record.levelname.lower(),
            "event": record.getMessage(),
            **getattr(record, "pairs", {}),
        }
        if record.exc_info:
            pairs["trace"] = self.formatException(record.exc_info)
        return " ".join(f"{key}={quoted(value)}" for key, value in pairs.items())


def pairs(**values: object) -> dict[str, dict[str, object]]:
    """Returns key=value pairs as the `extra` argument of a log call."""
    return {"pairs": values}


def configure_logging(level: str) -> None:
    """Writes log records of `level` and above to standard error, as lines of key=value pairs."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    logging.basicConfig(level=level, handlers=[handler], force=True)
