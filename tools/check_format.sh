#!/usr/bin/env bash
# Fails when clang-format would change a file; with --fix it changes them.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(--dry-run --Werror)
[ "${1:-}" = "--fix" ] && mode=(-i)
git ls-files -co --exclude-standard '*.cc' '*.h' | xargs -r clang-format "${mode[@]}"
