"""Experiments on the emulator, and an open-loop load generator. The node does not import this package."""
