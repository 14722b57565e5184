#!/usr/bin/env bash
# Runs the tests of the workspace without those that KNOWN-RED.txt lists, then
# these. Arguments are passed on to Cargo.
#
# Fails if another test fails, or if an entry does not name exactly one test, by
# its full name. The result of a listed test is printed only.
set -euo pipefail
cd "$(dirname "$0")/.."

# Time after which listed tests that still run are ended, in seconds.
readonly LISTED_TIMEOUT=600

names=()
if [ -f KNOWN-RED.txt ]; then
    cat KNOWN-RED.txt
    mapfile -t names < <(sed -n 's/^test: //p' KNOWN-RED.txt)
fi
if [ "${#names[@]}" -eq 0 ]; then
    exec cargo test --workspace "$@"
fi

tests="$(cargo test --workspace --tests "$@" -- --list --format terse)"
skipped=()
errors=0
for name in "${names[@]}"; do
    count="$(grep -cFx -- "$name: test" <<<"$tests" || true)"
    if [ "$count" -ne 1 ]; then
        echo "test.sh: KNOWN-RED.txt: '$name' is the name of $count tests" >&2
        errors=1
    fi
    skipped+=(--skip "$name")
done
if [ "$errors" -ne 0 ]; then
    exit 1
fi

# With --exact, --skip compares whole names too.
cargo test --workspace "$@" -- --exact "${skipped[@]}"

echo "Tests listed in KNOWN-RED.txt:"
results="$(timeout "$LISTED_TIMEOUT" cargo test --workspace --tests --no-fail-fast "$@" \
    -- --exact "${names[@]}" 2>&1 || true)"
for name in "${names[@]}"; do
    if grep -qxF -- "test $name ... ok" <<<"$results"; then
        echo "$name: passed; if its fault is mended, remove its entry"
    elif grep -qxF -- "test $name ... FAILED" <<<"$results"; then
        echo "$name: failed, as listed"
    else
        echo "$name: no result"
    fi
done
