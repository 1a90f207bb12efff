"""`python -m notchjunction.lab`."""

from notchjunction.lab.cli import main

main()
