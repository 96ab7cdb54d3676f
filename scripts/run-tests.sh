#!/usr/bin/env bash
# Runs the compiled tests of every package except known failures (*.known-red.test.js), which known-red.sh runs.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(find packages bench platform -path '*/dist/*' -name '*.test.js' -not -path '*/node_modules/*' -not -name '*.known-red.test.js' | sort)
exec node --test --test-timeout=180000 --test-concurrency=4 "${files[@]}"
