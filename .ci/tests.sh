#!/bin/sh
# Runs all tests. Those that KNOWN-RED.txt names may fail; anything else that fails, a name that no test has, a fourth
# line and one that can't be read fail the check. A line: the test's name, its cause, its issue, parted by " | ".
# TESTS, in place of cargo's run, is a command that prints what the tests say; the script's own test sets it.
set -u
red=${KNOWN_RED:-KNOWN-RED.txt}
if [ ! -s "$red" ]; then
    exec ${TESTS:-cargo test --workspace --locked}
fi
said=$(mktemp)
trap 'rm -f "$said"' EXIT
lines=$(grep -c . "$red")
if [ "$lines" -gt 3 ]; then
    echo "$red has $lines lines; at most three tests may be known to fail" >&2
    exit 1
fi
if grep . "$red" | grep -qvE '^[A-Za-z0-9_:]+ \| [^|]+ \| [^|]+$'; then
    echo "$red: a line is: the test's name | its cause | its issue" >&2
    exit 1
fi
${TESTS:-cargo test --workspace --locked --no-fail-fast} >"$said" 2>&1
status=$?
cat "$said"
names() { sed -n "s/^test \\([A-Za-z0-9_:]*\\)\\( - should panic\\)\\{0,1\\} \\.\\.\\. $1.*/\\1/p" "$said" | sort -u; }
failed=$(names FAILED)
passed=$(names ok)
known=$(grep . "$red" | sed 's/ | .*//' | sort -u)
bad=0
for name in $known; do
    if echo "$failed" | grep -qxF "$name"; then
        echo "known red: $(grep "^$name | " "$red")"
    elif echo "$passed" | grep -qxF "$name"; then
        echo "known red, but passes now, take its line out: $name"
    else
        echo "$red names no test: $name" >&2
        bad=1
    fi
done
for name in $failed; do
    if ! echo "$known" | grep -qxF "$name"; then
        echo "fails, and is not known to: $name" >&2
        bad=1
    fi
done
# What failed without a test's name, as a build that fails, is never known.
if [ "$status" -ne 0 ] && [ -z "$failed" ]; then
    bad=1
fi
# Nor is a program of tests that ended without telling how they went.
targets=$(sed -n 's/^error: \([0-9]*\) targets\{0,1\} failed.*/\1/p' "$said")
if [ -n "$targets" ] && [ "$targets" -ne "$(grep -c '^test result: FAILED' "$said")" ]; then
    echo "tests ended without saying how they went" >&2
    bad=1
fi
exit $bad
