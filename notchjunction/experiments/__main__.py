"""Entry point of `python -m notchjunction.experiments`."""

from notchjunction.experiments.cli import main

main()
