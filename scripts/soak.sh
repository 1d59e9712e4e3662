#!/bin/sh
# Plays the soak: the seeds that failed once, then fresh ones.
# usage: scripts/soak.sh [FRESH [FIRST [AT-ONCE]]]
# FRESH seeds from FIRST on, AT-ONCE of them at a time. Without FIRST they are new
# each time. Reports go to bin/soak, with the logs of seeds that broke a promise.
set -eu
cd "$(dirname "$0")/.."
fresh=${1:-8}
first=${2:-$(date +%s)}
at_once=${3:-3}
mkdir -p bin/soak
go build -o bin/lentilwood .
{
	sed -e 's/#.*//' internal/soaker/testdata/seeds.txt | awk 'NF {print $1}'
	awk -v n="$fresh" -v from="$first" 'BEGIN {for (i = 0; i < n; i++) print from + i}'
} >bin/soak/seeds
failed=0
xargs -P "$at_once" -I{} sh -c \
	'bin/lentilwood soak --seed {} --dir bin/soak/{} >bin/soak/{}.json 2>bin/soak/{}.err && echo "seed {} ok" || { echo "seed {} FAILED"; exit 1; }' \
	<bin/soak/seeds || failed=1
exit $failed
