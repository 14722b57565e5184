#!/usr/bin/env bash
# Runs the experiments on one entry process with the embedded platform and
# writes docs/measurements/load.md. Takes about 3 minutes.
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/common.sh
source scripts/common.sh

readonly PAGE="docs/measurements/load.md"
# Execution time of a request.
readonly RUN_SECONDS=0.05
# Slots of the embedded fleet.
readonly SLOTS=32

# `skipped` if the declaration could not be read, which the share error needs.
share_error_status=measured

start_embedded() {
    start_and_wait "$OUT/embedded.out" '^ready$' "$LB" serve --platform embedded --leave-delay 3 "$@"
    entry_pid=$last_pid
    backend=$(find_backend "$entry_pid")
}

# Prints the URL of one of the stand-in backend servers in process $1.
find_backend() {
    local port
    for port in $(ss -ltnpH | grep "pid=$1," | awk '{print $4}' | sed 's/.*://'); do
        if curl -sf -m 1 "http://127.0.0.1:$port/standin/executions" >/dev/null; then
            echo "http://127.0.0.1:$port"
            return
        fi
    done
}

measure_memory() {
    local kb
    kb=$(awk '/^VmRSS/ { print $2 }' "/proc/$entry_pid/status")
    add_row "memory of an idle entry process, MB" "< 64" "serve --platform embedded" "$((kb / 1024))"
}

measure_delay() {
    local flags="--rate $((SLOTS * 10)) --run $RUN_SECONDS --direct-rate 100 --seconds 20"
    # shellcheck disable=SC2086
    run_load half-load --startup "$OUT/embedded.out" --backend "$backend" $flags
    add_row "added delay at half load, p50 ms" "0.3" "load $flags" "$(report_value half-load added-p50-ms)"
    add_row "added delay at half load, p99 ms" "2" "load $flags" "$(report_value half-load added-p99-ms)"
    add_row "delay of the tool itself, p99 ms" "-" "load $flags" "$(report_value half-load send-lag-p99-ms)"
    flags="--rate 1000 --direct-rate 1000 --seconds 10"
    # shellcheck disable=SC2086
    run_load no-work --startup "$OUT/embedded.out" --backend "$backend" $flags
    add_row "added delay, requests without work, p50 ms" "0.3" "load $flags" "$(report_value no-work added-p50-ms)"
    add_row "added delay, requests without work, p99 ms" "2" "load $flags" "$(report_value no-work added-p99-ms)"
}

measure_overload() {
    local capacity=$((SLOTS * 5))
    local flags="--rate $((capacity * 3)) --run 0.2 --timeout 2 --seconds 20"
    # shellcheck disable=SC2086
    run_load overload --startup "$OUT/embedded.out" --backend "$backend" $flags
    local ran
    ran=$(report_value overload total.ran-per-second)
    add_row "goodput at 3 times the capacity, %" ">= 95" "load $flags" \
        "$(awk -v ran="$ran" -v capacity="$capacity" 'BEGIN { printf "%.1f", 100 * ran / capacity }')"
    add_row "refusals at 3 times the capacity, p50 ms" "-" "load $flags" "$(report_value overload total.refusal-p50-ms)"
    add_row "refusals at 3 times the capacity, p99 ms" "-" "load $flags" "$(report_value overload total.refusal-p99-ms)"
}

measure_shares() {
    local flags="--rate $((SLOTS * 40)) --run $RUN_SECONDS --timeout 2 --rotation 5 --seconds 40 --threads 2"
    local declaration=()
    [ "$share_error_status" = skipped ] || declaration=(--declaration "$OUT/embedded.toml")
    # shellcheck disable=SC2086
    run_load rotating --startup "$OUT/embedded.out" "${declaration[@]}" \
        --backend "$backend" $flags
    [ "$share_error_status" = measured ] || return 0
    add_row "share error, rotating 5x demand, 10 s windows, %" "< 5" "load $flags" \
        "$(format_percent "$(report_value rotating share-error)")"
}

measure_outcomes() {
    local flags="--rate 300 --run $RUN_SECONDS --once --idempotent --duplicates 0.3 --seconds 10"
    # shellcheck disable=SC2086
    run_load duplicates --startup "$OUT/embedded.out" --backend "$backend" $flags
    add_row "promises broken, 30 % sent twice" "0" "load $flags" "$(count_violations duplicates)"
    flags="--rate 600 --run $RUN_SECONDS --cancellations 0.8 --cancel-after 0.02 --seconds 10"
    # shellcheck disable=SC2086
    run_load cancelled --startup "$OUT/embedded.out" --backend "$backend" $flags
    add_row "promises broken, 80 % given up" "0" "load $flags" "$(count_violations cancelled)"
}

measure_stop() {
    local flags="--rate 300 --run $RUN_SECONDS --seconds 3 --once"
    echo "== stop: SIGTERM at half load"
    # shellcheck disable=SC2086
    "$CTL" load --seed "$SEED" --json "$OUT/stop.json" --startup "$OUT/embedded.out" \
        $flags >"$OUT/stop.txt" &
    local load_pid=$!
    sleep 2
    kill "$entry_pid"
    local exit_status=0
    wait "$entry_pid" || exit_status=$?
    wait "$load_pid" || failures=$((failures + 1))
    cat "$OUT/stop.txt"
    add_row "exit status after SIGTERM under load" "0" "load $flags; kill" "$exit_status"
    add_row "answers broken by SIGTERM under load" "0" "load $flags; kill" "$(report_value stop total.broken)"
}

start_embedded
sleep 1
measure_memory
admin=$(startup_value "$OUT/embedded.out" admin)
token=$(startup_value "$OUT/embedded.out" admin-token)
timeout 5 "$CTL" show --admin "$admin" --token "$token" >"$OUT/embedded.toml" || share_error_status=skipped
measure_delay
measure_overload
measure_shares
measure_outcomes
measure_stop
write_page "Request path, measured from outside" <<'EOF'
Written by `scripts/measure-path.sh`, which starts the release binaries. One
entry process with the embedded platform, 4 backend servers of 8 slots, and
two teams with limits of 16.
EOF
[ "$failures" -eq 0 ]
