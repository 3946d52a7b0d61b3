#!/usr/bin/env bash
# Fails if docs/logs.md lacks an event that the code logs, or lists one that the code doesn't log.
set -euo pipefail
coded=$(git ls-files -co --exclude-standard 'servers/*.cpp' 'drivers/*.cpp' 'platform/*.cpp' 'main/*.cpp' \
  | xargs cat | tr '\n' ' ' \
  | grep -oE 'LogLevel::[A-Za-z]+( : LogLevel::[A-Za-z]+)?, *"[a-z]+(-[a-z]+)*"' \
  | grep -oE '"[a-z-]+"' | tr -d '"' | sort -u)
listed=$(grep -E '^\| `' docs/logs.md | cut -d'|' -f2 | grep -oE '`[a-z-]+`' | tr -d '`' | sort -u)
if ! diff <(echo "$coded") <(echo "$listed"); then
  echo "log events: docs/logs.md and the code differ (<: only in the code, >: only in the document)"
  exit 1
fi
echo "log events: clean"
