#!/usr/bin/env bash
# Plays a case: case.sh FOLDER NAME. The exit code is 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
folder=$(cd "$1" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd)
standin=$root/bin/review-standin
if [ ! -x "$standin" ] || [ ! -x "$root/bin/dunemoor" ]; then
	echo "build first: the deploy file's build, then review/build.sh" >&2
	exit 2
fi
temp=$(mktemp -d) || exit 2
trap 'rm -rf "$temp"' EXIT
# The stand-in ends all processes that it started; they also end with it (the parent's death signal).
REVIEW_ROOT=$root REVIEW_TEMP=$temp REVIEW_RECORD=$folder/record.txt TROUBLE=${TROUBLE:-1} timeout -k 2 110 "$standin" "$2"
code=$?
for log in "$temp"/*.log; do
	[ -s "$log" ] || continue
	printf '\n--- output of %s\n' "$(basename "$log" .log)" >>"$folder/record.txt"
	cat "$log" >>"$folder/record.txt"
done
[ "$code" -le 2 ] || code=2
exit "$code"
