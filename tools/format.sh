#!/usr/bin/env bash
# Formats all sources in place; with --check only says which are not formatted, and exits non-zero.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
[ "${1:-}" = --check ] && mode=(--dry-run --Werror)
git ls-files -co --exclude-standard '*.cc' '*.h' | xargs clang-format "${mode[@]}"
