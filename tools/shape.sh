#!/usr/bin/env bash
# Checks the shape of the code outside tests: files of at most 500 lines, functions of at most 60 lines and
# a cognitive complexity of at most 20 (gocognit).
set -euo pipefail
cd "$(dirname "$0")/.."
max_file_lines=500
max_function_lines=60
max_complexity=20

files=$(mktemp)
trap 'rm -f "$files"' EXIT
git ls-files -co --exclude-standard '*.go' | grep -v '_test\.go$' | grep -v '/compare/' >"$files"
bad=0
checked=0
paths=()
while read -r file; do
	[ -f "$file" ] || continue # deleted, and not committed yet
	checked=$((checked + 1))
	lines=$(wc -l <"$file")
	if [ "$lines" -gt "$max_file_lines" ]; then
		echo "$file: $lines lines, $max_file_lines at most"
		bad=1
	fi
	awk -v max="$max_function_lines" -v file="$file" '
		/^func / { start = NR; name = $0 }
		/^}/ && start { if (NR - start + 1 > max) { printf "%s:%d: a function of %d lines, %d at most\n", file, start, NR - start + 1, max; found = 1 }; start = 0 }
		END { exit found }' "$file" || bad=1
	paths+=("$file")
done <"$files"
if [ "$checked" -gt 0 ]; then
	go tool -modfile=tools/go.mod gocognit -over "$max_complexity" "${paths[@]}" || bad=1
fi
echo "shape: $checked files"
exit "$bad"
