#!/bin/sh
# Builds the stand-ins of the cases. They are Python without dependencies, so
# this only compiles them, which finds a missing or damaged file.
set -e
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PYTHON
