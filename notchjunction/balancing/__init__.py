"""Decides which endpoint gets a request, what is retried and what is rejected. No I/O and no clock."""
