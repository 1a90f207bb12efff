"""The state that the nodes of a fleet share: membership and quotas. No I/O and no clock.

Loaded only if the configuration has a section `fleet`.
"""
