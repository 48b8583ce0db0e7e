#!/usr/bin/env bash
# Builds the stand-ins that the review's scripts start. They are Python and need
# no build, so this checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 1; }
python3 - <<'PYTHON'
import ast
import pathlib
import sys

if sys.version_info < (3, 9):
    sys.exit("the stand-ins need Python 3.9 or newer")
for source in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(source.read_text(encoding="utf-8"), str(source))
PYTHON
