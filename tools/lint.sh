#!/usr/bin/env bash
# Runs clang-tidy over all sources, or over the files given. A file whose
# content, headers and configuration were clean before is not checked again.
set -euo pipefail
cd "$(dirname "$0")/.."
cache=build/lint
mkdir -p "$cache"
files=("$@")
if ((${#files[@]} == 0)); then
  mapfile -t files < <(git ls-files -co --exclude-standard "*.cc")
fi
headers=$(git ls-files -co --exclude-standard '*.h' | xargs cat .clang-tidy | sha1sum | cut -c1-40)
export cache headers
check_one() {
  local stamp
  stamp="$cache/$(cat "$1" <(echo "$1 $headers") | sha1sum | cut -c1-40)"
  [ -e "$stamp" ] && return 0
  clang-tidy -p build --quiet "$1" 2>/dev/null && touch "$stamp"
}
export -f check_one
printf '%s\n' "${files[@]}" |
  xargs -P "${JOBS:-$(nproc)}" -I{} bash -c 'check_one {}'
