#!/usr/bin/env bash
# Runs all test programs and ends with the line "N passed, M failed".
# Usage: scripts/run_tests.sh BUILD_DIR
# Failures of tests listed in KNOWN-RED.txt (lines "test: NAME") are printed, but don't count.
set -uo pipefail
build=$(realpath "$1")
export MONSOONSAIL_BIN=$build
known=$(sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null || true)
export MONSOONSAIL_KNOWN_RED=$known
passed=0
failed=0
for suite in core servers drivers platform processes; do
  program=$build/${suite}_tests
  [ -x "$program" ] || continue
  echo "== $suite"
  output=$(timeout 900 "$program" 2>"$build/$suite.stderr")
  status=$?
  echo "$output"
  if [ $status -ne 0 ]; then
    tail -n 40 "$build/$suite.stderr"
  fi
  line=$(echo "$output" | grep -E '^[a-z]+: [0-9]+ passed, [0-9]+ failed' | tail -n 1)
  if [ -z "$line" ]; then
    echo "$suite: ended with status $status and without a result line"
    failed=$((failed + 1))
    continue
  fi
  passed=$((passed + $(echo "$line" | sed -E 's/^[a-z]+: ([0-9]+) passed.*/\1/')))
  failed=$((failed + $(echo "$line" | sed -E 's/.* ([0-9]+) failed.*/\1/')))
  # A crash after the result line, for example in a destructor, also counts as a failure.
  if [ $status -ne 0 ] && ! echo "$line" | grep -qE '[1-9][0-9]* failed'; then
    echo "$suite: exit status $status after its result line"
    failed=$((failed + 1))
  fi
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
