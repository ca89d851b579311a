#!/usr/bin/env bash
# Checks the stand-ins of the scripts, which need Python 3.11 and its standard library only.
set -eu
cd "$(dirname "$0")"
python3 - <<'P'
import ast, glob, sys, tomllib
assert sys.version_info >= (3, 11), "Python 3.11 or newer is required"
for path in glob.glob("lib2/*.py") + [p for n in range(6, 11) for p in glob.glob(f"{n}/*.py")]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
P
