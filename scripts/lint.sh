#!/usr/bin/env bash
# Runs clang-tidy on source files; fails on any finding.
# Usage: scripts/lint.sh BUILD_DIR [FILE...]   Without files: all source files of the repository.
# Results are cached: a file that passed is checked again only after a change of the file itself, of
# .clang-tidy or of a header of the repository that it includes according to the build.
set -euo pipefail
build=$1
shift
if [ $# -eq 0 ]; then
  mapfile -t files < <(git ls-files -co --exclude-standard '*.cpp')
else
  files=("$@")
fi
mkdir -p "$build/lint"
# Lists, for each source file, the source file itself and each header of the repository that it
# includes, as lines "SOURCE FILE".
ninja -C "$build" -t deps 2>/dev/null | awk -v root="$PWD/" '
  /^$/ { source = "" }
  /^    / {
    file = $1
    sub("^\\.\\./", "", file)
    if (index(file, root) == 1) file = substr(file, length(root) + 1)
    if (file ~ /^\//) next
    if (source == "") source = file
    print source, file
  }' | sort -u >"$build/lint/includes"
export build
check_file() {
  local included stamp output
  included=$(awk -v source="$1" '$1 == source { print $2 }' "$build/lint/includes")
  if [ -z "$included" ]; then
    included=$(git ls-files -co --exclude-standard '*.h'; echo "$1")
  fi
  stamp=$build/lint/$( (echo "$1"; echo "$included" | xargs cat .clang-tidy) | sha256sum | cut -d' ' -f1)
  if [ -e "$stamp" ]; then
    return 0
  fi
  if output=$(clang-tidy -p "$build" --quiet "$1" 2>&1); then
    touch "$stamp"
    return 0
  fi
  echo "$output" | grep -v -E 'warnings generated|Suppressed .* warnings|Use -header-filter'
  return 1
}
export -f check_file
if ! printf '%s\n' "${files[@]}" | xargs -r -P "$(nproc)" -n 1 bash -c 'check_file "$1"' _; then
  echo "lint: findings above"
  exit 1
fi
echo "lint: clean"
