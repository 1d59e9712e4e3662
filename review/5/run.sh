#!/usr/bin/env bash
# Plays the case, and writes record.txt beside this file. TROUBLE=0 leaves out the disruption.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
root="$(cd "$(dirname "$0")/../.." && pwd)"
[ -x "$root/target/lentilwood" ] && [ -x "$root/target/review-standin" ] || { echo "build first"; exit 2; }
export TROUBLE="${TROUBLE:-1}"
exec "$root/target/review-standin" repeats "$root" "$root/review/5"
