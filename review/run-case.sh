#!/bin/bash
# Runs the stand-in of one case: run-case.sh FOLDER with|without, that is, with
# or without the disruption. Exit code: 1 if the rule was broken, 0 if it held,
# 2 if the case could not run.
set -u
case ${2:-} in
  with | without) ;;
  *)
    echo "usage: run-case.sh FOLDER with|without" >&2
    exit 2
    ;;
esac
case_folder=$(cd "$1" && pwd)
review=$(dirname "$case_folder")
program=$review/bin/case-$(basename "$case_folder")
if [ ! -x "$program" ] || [ ! -x "$review/../target/cuminvaned" ]; then
  echo "build first: the command in deploy/system.toml, then review/build.sh" >&2
  exit 2
fi
folder=$(mktemp -d) || exit 2
timeout -k 2 115 "$program" "$(dirname "$review")" "$case_folder/record.txt" "$folder" "$2"
result=$?
if [ "${KEEP:-}" != "" ]; then echo "$folder" >&2; else rm -rf "$folder"; fi
case $result in 0 | 1) exit "$result" ;; *) exit 2 ;; esac
