#!/usr/bin/env bash
# Formats all sources in place. With --check it changes nothing, reports the unformatted files and exits non-zero if
# there are any.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
[ "${1:-}" = --check ] && mode=(--dry-run --Werror)
git ls-files -co --exclude-standard '*.cc' '*.h' | xargs clang-format "${mode[@]}"
