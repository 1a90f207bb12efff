#!/bin/sh
# Builds the stand-ins of all cases: standard library only, so they are compiled and no more.
cd "$(dirname "$0")/.." || exit 2
exec .venv-run/bin/python -m compileall -q review
