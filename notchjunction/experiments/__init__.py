"""Experiments on the emulator, and open-loop load on sockets. The node never imports it."""
