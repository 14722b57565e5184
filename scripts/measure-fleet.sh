#!/usr/bin/env bash
# Runs the experiments on three entry processes with the fleet of
# examples/laurentien.toml and writes docs/measurements/fleet.md. Takes about
# 3 minutes.
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/common.sh
source scripts/common.sh

readonly PAGE="docs/measurements/fleet.md"
readonly DECLARATION="examples/laurentien.toml"
readonly NODES=3
# Execution time of a request.
readonly RUN_SECONDS=0.2
# Pool in which one VM in ten is made to fail every request.
readonly FAILING_VM_POOL="inspections"
# Entry process N listens for its peers on this port plus N.
readonly PEER_PORT_BASE=19100
# Time over which traffic and processor time are measured.
readonly CONTROL_SECONDS=10
readonly ADMIN_TOKEN="token-of-the-measuring-operator"

# Prints the name and the number of VMs of each pool.
list_pools() {
    awk -F'[].[]' '/^\[pools[.]/ { pool = $3 }
        /^vms = / && pool { split($0, part, " = "); print pool, part[2]; pool = "" }' "$DECLARATION"
}

# Prints the name of each customer.
list_customers() {
    awk -F'[].[]' '/^\[teams[.]/ { print $3 }' "$DECLARATION"
}

start_backends() {
    local count=0 pool vms flags=()
    while read -r pool vms; do
        count=$((count + vms))
    done < <(list_pools)
    for _ in $(seq $((count - 1))); do
        flags+=(--listen 127.0.0.1:0)
    done
    start_and_wait "$OUT/good.out" '^ready$' "$LB" standin backend "${flags[@]}"
    start_and_wait "$OUT/bad.out" '^ready$' "$LB" standin backend --listen 127.0.0.1:0
    healthy_backend=$(startup_value "$OUT/good.out" backend)
    failing_backend=$(startup_value "$OUT/bad.out" backend)
}

# Starts the stand-in platform with all VMs and stores the row of each VM, which
# assigns it to a pool.
start_platform() {
    local addresses=() flags=() writes=() pool vms number=0 node name address identity
    mapfile -t addresses < <(awk '$1 == "backend" { sub("http://", "", $2); print $2 }' "$OUT/good.out")
    while read -r pool vms; do
        for index in $(seq "$vms"); do
            name="$pool-$index"
            if [ "$name" = "$FAILING_VM_POOL-1" ]; then
                address=${failing_backend#http://}
            else
                address=${addresses[$number]}
                number=$((number + 1))
            fi
            local rack="rack-$((number / 4))" centre="centre-$((number / 4 % 3))"
            flags+=(--vm "$name,$address,$rack,$centre")
            identity="{\\\"vm\\\":\\\"$name\\\",\\\"address\\\":\\\"$address\\\",\\\"rack\\\":\\\"$rack\\\",\\\"data-centre\\\":\\\"$centre\\\"}"
            writes+=("{\"key\":\"vm/$name\",\"value\":\"{\\\"identity\\\":$identity,\\\"pool\\\":\\\"$pool\\\",\\\"phase\\\":\\\"serving\\\",\\\"revision\\\":1}\"}")
        done
    done < <(list_pools)
    for node in $(seq "$NODES"); do
        flags+=(--vm "entry-$node,127.0.0.1:1,rack-99,centre-0")
    done
    start_and_wait "$OUT/platform.out" '^ready$' "$LB" standin platform --lag 0.5 "${flags[@]}"
    platform=$(startup_value "$OUT/platform.out" platform)
    local list
    list=$(IFS=,; echo "${writes[*]}")
    curl -sf -m 5 -H 'redwing-client: measure' "$platform/platform" \
        -d "{\"commit\":{\"conditions\":[],\"writes\":[$list]}}" >/dev/null
}

# Starts entry process $1.
start_entry() {
    local digest
    digest=$(printf %s "$ADMIN_TOKEN" | sha256sum | cut -d' ' -f1)
    start_and_wait "$OUT/entry-$1.out" '^admin ' "$LB" serve --platform "$platform" --node "entry-$1" \
        --peer-listen "127.0.0.1:$((PEER_PORT_BASE + $1))" --bootstrap-hash "$digest" --task-lease 5 --list-lag 1 --leave-delay 3
    entry_pids[$1]=$last_pid
}

wait_ready() {
    local node
    for node in $(seq "$NODES"); do
        for _ in $(seq 100); do
            curl -sf -m 1 "$(startup_value "$OUT/entry-$node.out" listen)/readyz" >/dev/null && continue 2
            sleep 0.1
        done
        echo "measure: entry-$node did not become ready" >&2
        exit 1
    done
}

# Writes the experiment file. Every customer sends to every queue; the first two
# customers send to the first entry process only.
write_experiment() {
    local queue customer weights node
    {
        echo "targets = [$(for node in $(seq "$NODES"); do echo "\"$(startup_value "$OUT/entry-$node.out" listen)\","; done)]"
        echo "backends = [\"$healthy_backend\", \"$failing_backend\"]"
        for queue in certificates inspections invoicing archive; do
            local index=0
            for customer in $(list_customers); do
                index=$((index + 1))
                weights="[1, 1, 1]"
                [ "$index" -gt 2 ] || weights="[1, 0, 0]"
                echo "[[streams]]"
                echo "team = \"$customer\""
                echo "queue = \"$queue\""
                echo "key = \"${keys[$customer]}\""
                echo "run-seconds = $RUN_SECONDS"
                echo "target-weights = $weights"
            done
        done
    } >"$OUT/fleet.toml"
}

# Adds a row with the time until every entry process refuses a withdrawn key.
measure_withdrawal() {
    local reply hash secret start_ms node status
    reply=$("$CTL" key grant --team small-owners)
    secret=$(awk '$1 == "secret" { print $2 }' <<<"$reply")
    hash=$(awk '$1 == "hash" { print $2 }' <<<"$reply")
    sleep 3
    start_ms=$(date +%s%3N)
    "$CTL" key withdraw --hash "$hash" >/dev/null
    for node in $(seq "$NODES"); do
        until [ "$(curl -s -m 1 -o /dev/null -w '%{http_code}' -d x -H "Authorization: Bearer $secret" \
            "$(startup_value "$OUT/entry-$node.out" listen)/v1/queues/archive/requests")" = 401 ]; do
            sleep 0.01
        done
    done
    add_row "time until a withdrawn key is refused everywhere, ms" "< 2000" "key withdraw" \
        "$(($(date +%s%3N) - start_ms))"
}

# Prints the number of bytes that the first entry process has sent and received
# on its open connections with a port that matches regular expression $1.
transferred_bytes() {
    ss -tinpH | awk -v pid="pid=${entry_pids[1]}," -v port=":($1)$" '
        /^[A-Z]/ { matching = index($0, pid) && ($4 ~ port || $5 ~ port) }
        matching { for (i = 1; i <= NF; i++) if ($i ~ /^bytes_(sent|received):/) {
            split($i, part, ":"); sum += part[2] } }
        END { print sum + 0 }'
}

# Prints the processor time that the first entry process has used, in ms.
cpu_time_ms() {
    awk '{ print ($14 + $15) * 10 }' "/proc/${entry_pids[1]}/stat"
}

# Adds rows with the control traffic of the first entry process under load $1,
# and with its processor time and memory if $1 is `idle`.
measure_control() {
    local peer_ports="1910[0-9]" table_port="${platform##*:}" peer_bytes table_bytes cpu_ms
    peer_bytes=$(transferred_bytes "$peer_ports")
    table_bytes=$(transferred_bytes "$table_port")
    cpu_ms=$(cpu_time_ms)
    sleep "$CONTROL_SECONDS"
    peer_bytes=$((($(transferred_bytes "$peer_ports") - peer_bytes) / CONTROL_SECONDS))
    table_bytes=$((($(transferred_bytes "$table_port") - table_bytes) / CONTROL_SECONDS))
    cpu_ms=$(($(cpu_time_ms) - cpu_ms))
    add_row "bytes a second with two peers, $1" "< 7000" "ss -ti" "$peer_bytes"
    add_row "bytes a second with the table, $1" "-" "ss -ti" "$table_bytes"
    [ "$1" = idle ] || return 0
    add_row "processor time of the whole process, idle, % of a core" "< 2.7" "/proc/PID/stat" \
        "$(awk -v ms="$cpu_ms" -v s="$CONTROL_SECONDS" 'BEGIN { printf "%.2f", ms / s / 10 }')"
    add_row "memory of the process, 50 workers, MB" "< 128" "/proc/PID/status" \
        "$(awk '/^VmRSS/ { printf "%.1f", $2 / 1024 }' "/proc/${entry_pids[1]}/status")"
}

# Takes the table down if $1 is `true`, and restores it if $1 is `false`.
set_table_down() {
    curl -sf -m 5 "$platform/control" -d "{\"all-faults\":{\"table-down\":$1}}" >/dev/null
}

declare -A keys
declare -a entry_pids
start_backends
start_platform
for node in $(seq "$NODES"); do
    start_entry "$node"
done
REDWING_ADMIN=$(for node in $(seq "$NODES"); do startup_value "$OUT/entry-$node.out" admin; done | paste -sd,)
export REDWING_ADMIN REDWING_ADMIN_TOKEN="$ADMIN_TOKEN"
sleep 3
"$CTL" apply -f "$DECLARATION" --wait 20
for customer in $(list_customers); do
    keys[$customer]=$("$CTL" key grant --team "$customer" | awk '$1 == "secret" { print $2 }')
done
wait_ready
write_experiment
sleep 3

measure_control idle
"$CTL" load -f "$OUT/fleet.toml" --rate 800 --rotation 5 --timeout 3 --seconds 14 >/dev/null &
load_pid=$!
sleep 2
measure_control "800 requests a second"
wait "$load_pid" || failures=$((failures + 1))

flags="--rate 800 --rotation 5 --timeout 3 --seconds 40 --threads 2"
# shellcheck disable=SC2086
run_load fleet-rotating -f "$OUT/fleet.toml" --declaration "$DECLARATION" $flags
add_row "share error, rotating 5x demand, 3 entry processes, 10 s windows, %" "< 5" "load $flags" \
    "$(format_percent "$(report_value fleet-rotating share-error)")"
add_row "promises broken, rotating demand" "0" "load $flags" "$(count_violations fleet-rotating)"

measure_withdrawal

flags="--rate 400 --timeout 5 --seconds 15"
curl -sf -m 5 -X PUT "$failing_backend/standin/fault" -d fail
# shellcheck disable=SC2086
run_load black-hole -f "$OUT/fleet.toml" $flags
curl -sf -m 5 -X PUT "$failing_backend/standin/fault" -d none
add_row "answers lost to one worker in ten that fails everything, % of the queue" "< 1" "load $flags" \
    "$(awk -v lost="$(report_value black-hole total.server-errors)" -v sent="$(report_value black-hole total.scheduled)" \
        'BEGIN { printf "%.2f", 100 * lost / (sent / 4) }')"

flags="--rate 400 --timeout 5 --seconds 15"
(sleep 3; set_table_down true; sleep 8; set_table_down false) &
# shellcheck disable=SC2086
run_load table-down -f "$OUT/fleet.toml" $flags
wait $!
add_row "answers that are not \`ran\` while the table is down for 8 s" "0" "load $flags" \
    "$(($(report_value table-down total.scheduled) - $(report_value table-down total.ran)))"

flags="--rate 400 --timeout 5 --seconds 15 --once --idempotent"
(sleep 5 && kill -KILL "${entry_pids[$NODES]}") &
# A killed process can't respond to its open requests, which the load tool counts
# as violations. Its exit status is ignored; the rows below give the result.
# shellcheck disable=SC2086
"$CTL" load --seed "$SEED" --json "$OUT/killed.json" -f "$OUT/fleet.toml" $flags || true
wait $!
add_row "requests without an answer after SIGKILL of one entry process" "-" "load $flags" \
    "$(report_value killed total.broken)"
add_row "not repeatable requests that ran twice after SIGKILL" "0" "load $flags" \
    "$(grep -c 'runs at most once' "$OUT/killed.json" || true)"

write_page "Three entry processes, measured from outside" <<'EOF'
Written by `scripts/measure-fleet.sh`, which starts the release binaries: three
entry processes, a stand-in platform, and 50 stand-in backend servers in the
pools of `examples/laurentien.toml`. Six teams on four queues; two of the teams
come through one entry process only. A request runs for 0.2 s.
EOF
[ "$failures" -eq 0 ]
