#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are Python programs, so this only compiles them
# to find errors; nothing is installed or downloaded.
set -euo pipefail
cd "$(dirname "$0")"
for source in standins.py [1-5]/*.py; do
  python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$source"
done
