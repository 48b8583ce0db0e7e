#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. They are
# Python and need no build, so this checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 1; }
python3 - <<'PYTHON'
import ast
import pathlib
import sys

if sys.version_info < (3, 9):
    sys.exit("the stand-ins need Python 3.9 or newer")
for name in ["platform_2.py", *(f"{n}/case.py" for n in range(6, 11))]:
    source = pathlib.Path(name)
    if source.exists():
        ast.parse(source.read_text(encoding="utf-8"), name)
PYTHON
