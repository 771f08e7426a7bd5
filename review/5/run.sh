#!/bin/sh
# Plays the case with the programs in target, as built by deploy/system.toml and review/build-2.sh, and writes record.txt beside this file.
# Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review-2/5 ] || { echo "run review/build-2.sh first"; exit 2; }
exec ../../target/review-2/5 ../../target record.txt
