"""What may be written, closed or started at this moment, and what must never happen. No I/O and no clock."""
