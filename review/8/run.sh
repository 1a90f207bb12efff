#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review .venv-run/bin/python "$folder/case.py" &
trap 'kill "$!"; wait "$!"; exit 2' TERM INT
wait "$!"
case $? in
0) exit 0 ;;
10) exit 1 ;;
*) exit 2 ;;
esac
