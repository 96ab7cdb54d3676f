#!/usr/bin/env bash
# Checks every Promela model in spec/: the unmodified model must hold, and the checker must find each seeded fault.
# A model lists its seeded faults in lines of the form "// fault: NAME"; each variant is built with -DNAME.
# A line "// search-depth: N" sets the depth limit of the search.
set -euo pipefail
cd "$(dirname "$0")/../spec"
if ! command -v spin >/dev/null; then
	if [ "$(id -u)" -eq 0 ] && command -v apt-get >/dev/null; then
		{ apt-get update && apt-get install -y spin; } >/dev/null
	else
		echo 'model-check: the model checker is missing; install the packages spin and gcc' >&2
		exit 1
	fi
fi

work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
failed=0

# Builds and runs one variant and writes the checker's report to $work/report.
check() {
	local model=$1 depth=$2
	shift 2
	(
		cd "$work"
		rm -f pan* ./*.trail
		spin -a "$@" "$OLDPWD/$model" >spin.log
		gcc -w -O2 -DSAFETY -DCOLLAPSE -DMEMLIM=4096 -o pan pan.c
		./pan -m"$depth" >report
	)
}

for model in *.pml; do
	[ -e "$model" ] || { echo 'model-check: no models'; exit 1; }
	depth=$(sed -n 's|^// search-depth: *||p' "$model")
	depth=${depth:-100000}
	check "$model" "$depth"
	states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$work/report" | head -1)
	if grep -q 'errors: 0' "$work/report" && ! grep -q 'max search depth too small' "$work/report" && ! grep -q 'Search not completed' "$work/report"; then
		echo "model-check: $model holds ($states states)"
	else
		echo "model-check: $model FAILS"
		cat "$work/report"
		failed=1
	fi
	for fault in $(sed -n 's|^// fault: *||p' "$model"); do
		check "$model" "$depth" "-D$fault"
		if grep -q 'errors: 0' "$work/report"; then
			echo "model-check: $model with seeded fault $fault was NOT found"
			failed=1
		else
			echo "model-check: $model with seeded fault $fault is found"
		fi
	done
done
exit $failed
