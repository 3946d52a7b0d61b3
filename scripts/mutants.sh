#!/usr/bin/env bash
# Mutation test: applies one-line faults (mutants) to the sources, one at a time, and checks that the
# given test fails with each of them.
# Usage: scripts/mutants.sh BUILD_DIR [NAME...]   Without names: all mutants of the list.
# The columns of tests/mutants/list.tsv are name, file, sed expression, test program and test.
# Each mutant is built in a copy of the working tree in BUILD_DIR/mutants.
set -uo pipefail
build=$(realpath "$1")
shift
jobs=${MUTANT_JOBS:-4}
tree=$build/mutants/tree
output=$build/mutants/build
list=tests/mutants/list.tsv

mkdir -p "$tree"
git ls-files -co --exclude-standard -z | tar --null -T - -cf - | tar -xf - -C "$tree" || exit 1
cmake -S "$tree" -B "$output" -G Ninja >/dev/null || exit 1

build_program() {
  cmake --build "$output" -j "$jobs" --target "$1" monsoonsaild >"$build/mutants/build.log" 2>&1
}

# Returns 0 if the test passes.
passes() {
  (cd "$tree" && MONSOONSAIL_BIN=$output timeout 240 "$output/$1" "$2" >"$build/mutants/test.log" 2>&1)
}

wanted() {
  [ "${#names[@]}" -eq 0 ] && return 0
  local name
  for name in "${names[@]}"; do
    [ "$name" = "$1" ] && return 0
  done
  return 1
}

names=("$@")
mapfile -t rows < <(grep -v -E '^(#|$)' "$list")

# A test that fails without a mutant would seem to catch every mutant.
for row in "${rows[@]}"; do
  IFS=$'\t' read -r name _ _ program test <<<"$row"
  wanted "$name" || continue
  if ! build_program "$program" || ! passes "$program" "$test"; then
    echo "$test fails without a mutant"
    exit 1
  fi
done

try_mutant() {
  local file=$1 expression=$2 program=$3 test=$4
  sed -i -E "$expression" "$tree/$file"
  if cmp -s "$file" "$tree/$file"; then
    echo unchanged
  elif ! build_program "$program"; then
    echo unbuilt
  elif passes "$program" "$test"; then
    echo survived
  else
    echo caught
  fi
}

missed=0
total=0
printf '%-32s %-10s %s\n' "mutant" "result" "test"
for row in "${rows[@]}"; do
  IFS=$'\t' read -r name file expression program test <<<"$row"
  wanted "$name" || continue
  total=$((total + 1))
  result=$(try_mutant "$file" "$expression" "$program" "$test")
  [ "$result" = caught ] || missed=$((missed + 1))
  printf '%-32s %-10s %s\n' "$name" "$result" "$test"
  cp "$file" "$tree/$file"
done
echo "$((total - missed)) of $total mutants caught"
[ "$missed" -eq 0 ] && [ "$total" -gt 0 ]
