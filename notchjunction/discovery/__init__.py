"""The endpoint list: its entries, when it is polled, and when endpoints started. No I/O and no clock."""
