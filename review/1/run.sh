#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")" || exit 2
program=../../target/arbutuslb
case_program=../build/case_$(basename "$PWD")
[ -x "$program" ] && [ -x "$case_program" ] || { echo "build target/ and run review/build.sh first"; exit 2; }
"$case_program" "$program" record.txt # ends itself and all its processes after 115 s
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
