"""Log lines, counters and the flight recorder."""
