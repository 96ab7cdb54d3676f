#!/usr/bin/env bash
# Runs the compiled tests of every package except known failures (*.known-red.test.js), which known-red.sh runs. Tests of processes at
# the limits of their VMs (*.apart.test.js) run afterwards, one at a time. The tests that failed are printed once more at the end, since
# a log of a run may be kept without its middle.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(find packages bench platform -path '*/dist/*' -name '*.test.js' -not -path '*/node_modules/*' -not -name '*.known-red.test.js' | sort)
mapfile -t together < <(printf '%s\n' "${files[@]}" | grep -v '\.apart\.test\.js$')
mapfile -t apart < <(printf '%s\n' "${files[@]}" | grep '\.apart\.test\.js$')
report=$(mktemp)
trap 'rm -f "$report"' EXIT
code=0

# Runs test files, so many at a time.
run() {
	node --test --test-timeout=400000 --test-concurrency="$1" \
		--test-reporter=tap --test-reporter-destination=stdout \
		--test-reporter=spec --test-reporter-destination="$report" \
		"${@:2}" || code=$?
	if [ "$code" -ne 0 ]; then
		sed -n '/failing tests:/,$p' "$report"
	fi
}

run 4 "${together[@]}"
run 1 "${apart[@]}"
exit "$code"
