#!/bin/sh
# The stand-ins of the cases are plain JavaScript without dependencies: nothing is compiled, their syntax is checked.
set -e
cd "$(dirname "$0")"
for file in lib/*.js [0-9]/*.js; do
	if [ -f "$file" ]; then
		node --check "$file"
	fi
done
