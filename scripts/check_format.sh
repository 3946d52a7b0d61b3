#!/usr/bin/env bash
# Fails if clang-format would change a source file.
set -euo pipefail
git ls-files -co --exclude-standard '*.h' '*.cpp' | xargs -r clang-format --dry-run -Werror
echo "format: clean"
