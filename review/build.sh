#!/usr/bin/env bash
# The stand-ins are Python programs without dependencies; this checks that they can be run.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))' || { echo "Python 3.9 or newer is needed" >&2; exit 1; }
for file in lib/standins.py [0-9]*/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
