#!/usr/bin/env bash
# The stand-ins of review/6 to review/10 are Python programs that need no build; this checks that
# they can be read and that the daemon of deploy/system.toml is there.
set -euo pipefail
cd "$(dirname "$0")/.."
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 1; }
python3 - <<'END'
import ast
import glob
for path in ["review/standins2.py"] + sorted(glob.glob("review/*/case.py")):
    with open(path, encoding="utf-8") as source:
        ast.parse(source.read(), path)
END
test -x target/monsoonsaild || { echo "target/monsoonsaild is missing" >&2; exit 1; }
