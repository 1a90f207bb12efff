"""Log lines of key=value pairs through the logging module."""

from __future__ import annotations

import logging
import sys
from typing import Any


def quoted(value: object) -> str:
    """A value as it stands, or in quotes where a reader would not see its end."""
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    if text and all(char.isprintable() and char not in ' ="\\' for char in text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n").replace("\r", "\\r")
    return f'"{escaped}"'


class KeyValueFormatter(logging.Formatter):
    def format(self, record: logging.LogRecord) -> str:
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
    """For the `extra` of a log call."""
    return {"pairs": values}


def start(level: str) -> None:
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    logging.basicConfig(level=level, handlers=[handler], force=True)
