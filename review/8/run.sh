#!/bin/sh
# Plays the case once; see claim.txt. Writes what was sent, answered and run to record.txt in this folder. Exits with 1 if the
# rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
rm -f record.txt
: >record.txt || exit 2
exec python3 -B case.py
