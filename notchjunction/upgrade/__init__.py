"""What passes from one process of a node to the next, and how a process shuts down."""
