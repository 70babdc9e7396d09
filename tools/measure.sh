#!/usr/bin/env bash
# Runs one measurement and prints figure=... lines: steering, history, capacity (the slopes of docs/CAPACITY.md) or
# daemon (a real balancer).
set -euo pipefail

usage() {
  echo "usage: tools/measure.sh steering [--seed N]"
  echo "       tools/measure.sh history [--seed N] [--runs K]"
  echo "       tools/measure.sh capacity [--seed N]"
  echo "       tools/measure.sh daemon"
}

[ $# -ge 1 ] || { usage >&2; exit 2; }
what=$1; shift
cd "$(dirname "$0")/.."
case "$what" in
  steering|capacity) program=(cuminvane_measure "$what") ;;
  daemon) program=(measure_daemon) ;;
  history) program=(cuminvane_history) ;;
  --help|-h) usage; exit 0 ;;
  *) usage >&2; exit 2 ;;
esac
tools/setup.sh
cmake --preset release >/dev/null
cmake --build --preset release >/dev/null || { echo "measure: the build failed; run cmake --build --preset release" >&2; exit 1; }
if [ "$what" = daemon ]; then
  tools/measure_daemon.sh
  exit
fi
"build/release/${program[0]}" "${program[@]:1}" "$@"
