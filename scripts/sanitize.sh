#!/usr/bin/env bash
# Builds all programs with a sanitizer and runs the tests, which start the daemons of that build.
# Usage: scripts/sanitize.sh address|thread
# With `address`, undefined behaviour is checked as well.
set -euo pipefail
sanitizer=$1
build=build-$sanitizer
if [ "$sanitizer" = address ]; then
  sanitizer=address,undefined,float-cast-overflow
fi
cmake -S . -B "$build" -G Ninja -DMONSOONSAIL_SANITIZER="$sanitizer" >/dev/null
cmake --build "$build"
root=$(pwd)
export ASAN_OPTIONS=detect_leaks=1:abort_on_error=1
export LSAN_OPTIONS=suppressions=$root/scripts/lsan.supp
export UBSAN_OPTIONS=print_stacktrace=1:halt_on_error=1
export TSAN_OPTIONS=suppressions=$root/scripts/tsan.supp:halt_on_error=1:second_deadlock_stack=1
bash scripts/run_tests.sh "$build"
