#!/bin/sh
# Builds the stand-ins of the cases. They are Python 3.11 programs without dependencies, so there is nothing to compile:
# this checks that the interpreter is there and that each of them can be read.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "Python 3.11 or later is needed" >&2; exit 1; }
for file in stand/*.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
