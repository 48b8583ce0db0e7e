#!/usr/bin/env bash
# Checks the stand-ins of the third review's cases. They are Python programs that
# need the standard library only, so nothing has to be compiled.
set -euo pipefail
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing"; exit 2; }
for file in harness_3.py harness.py platform_2.py 1[1-5]/*.py; do
  python3 - "$file" <<'CHECK'
import ast
import sys

assert sys.version_info >= (3, 9), "needs Python 3.9"
ast.parse(open(sys.argv[1]).read(), sys.argv[1])
CHECK
done
