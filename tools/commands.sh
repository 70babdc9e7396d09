#!/usr/bin/env bash
# Prints the page docs/COMMANDS.md, made from the output of each program's --help. Needs the release build.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=build/release

# program NAME TEXT: prints the section of one program: its name, a text about it and its --help output.
program() {
  printf '\n## %s\n\n%s\n\n```\n' "$1" "$2"
  "$bin/$1" --help
  printf '```\n'
}

cat <<'PAGE'
# Commands

Made by `tools/commands.sh > docs/COMMANDS.md`; the tests compare. Every program ends with 0 where all went well, else
with a number of [RESULT-CODES.md](RESULT-CODES.md), and says on standard error what was wrong.
PAGE
program cuminvaned 'Runs until SIGTERM or SIGINT, which stop it gracefully. SIGHUP, or a changed file,
has log levels and first peers read again. Log lines go to standard output.'
program cuminvanectl 'Asks balancers at their control addresses, or reads files. `status` ends with 8 where a balancer did not
answer, `targets`, `watch` and `preview` with 9 where a target is not met.'
program cuminvane-emulate 'Ends with 9 where a promise was broken in a run. The sections of an experiment are in
`etc/experiments/rough-evening.ini`; every fault of a file is told in one go.'
program cuminvane-call 'For tests and the demo: one request, or a load of many flows from one source address.'
program cuminvane-standin 'For tests and the demo: the platform, the fabric, a backend server, or the figures of a run.'
