"""What the nodes of a fleet hold in common. Off unless the file has a section `fleet`; decides without I/O
or clock.
"""
