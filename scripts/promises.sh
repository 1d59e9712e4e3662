#!/bin/sh
# Runs the tests that the page of promises names, and counts its rows.
# A row is proved if it says so and every test that it names exists and passes.
page=docs/PROMISES.md
work=$(mktemp -d) || exit 1
trap 'rm -rf "$work"' EXIT
root=$(pwd)
proved=0
not=0
broken=0

# run_test PACKAGE TEST runs a test once and remembers how it ended.
run_test() {
	id=$(printf %s "$1-$2" | tr / _)
	bin="$work/$(basename "$1").test"
	[ -x "$bin" ] || go test -c -o "$bin" "./$1" || return 1
	if [ ! -e "$work/$id" ]; then
		pattern=$(printf %s "$2" | sed 's|[^/][^/]*|^&$|g')
		scenario=
		if [ "$1" = internal/scripter ]; then
			scenario="-scenarios=../../testdata/scenarios/${2##*/}.txt"
			pattern='^TestScenarios$'
		fi
		(cd "$root/$1" && "$bin" -test.count=1 -test.v -test.run "$pattern" $scenario) > "$work/$id.out" 2>&1
		echo $? > "$work/$id"
	fi
	[ "$(cat "$work/$id")" = 0 ] && grep -Eq -- "--- PASS: ${2%%/*}(/alone)?${2#"${2%%/*}"} " "$work/$id.out"
}

while IFS= read -r row; do
	case $row in
	'| proved |'*) ;;
	'| not |'*) not=$((not + 1)); continue ;;
	*) continue ;;
	esac
	names=$(printf '%s\n' "$row" | grep -o '`\(internal/\)\{0,1\}[a-z]*:[A-Za-z0-9_/]*`' | tr -d '`')
	failed=
	[ -n "$names" ] || failed=' (names no test)'
	for name in $names; do
		run_test "${name%%:*}" "${name#*:}" || failed="$failed $name"
	done
	if [ -z "$failed" ]; then
		proved=$((proved + 1))
	else
		broken=$((broken + 1))
		printf 'FAILED:%s\n  %s\n' "$failed" "$row"
	fi
done < "$page"

echo "$proved proved, $((not + broken)) not"
[ "$broken" = 0 ]
