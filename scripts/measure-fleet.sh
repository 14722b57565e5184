#!/usr/bin/env bash
# Runs the experiments on three entry processes with the fleet of
# examples/laurentien.toml and writes docs/measurements/fleet.md. Takes about
# 3 minutes.
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/common.sh
source scripts/common.sh

readonly PAGE="docs/measurements/fleet.md"
readonly FLEET="examples/laurentien.toml"
readonly NODES=3
# Running time of a request, in seconds.
readonly RUN=0.2
# The pool in which one VM in ten fails everything.
readonly BAD_POOL="inspections"
# Entry process N listens for its peers on this port plus N.
readonly PEER_PORT=19100
readonly CONTROL_SECONDS=10
readonly TOKEN="token-of-the-measuring-operator"

# Prints each pool with its number of VMs.
pools() {
    awk -F'[].[]' '/^\[pools[.]/ { pool = $3 }
        /^vms = / && pool { split($0, part, " = "); print pool, part[2]; pool = "" }' "$FLEET"
}

teams() {
    awk -F'[].[]' '/^\[teams[.]/ { print $3 }' "$FLEET"
}

start_backends() {
    local count=0 pool vms flags=()
    while read -r pool vms; do
        count=$((count + vms))
    done < <(pools)
    for _ in $(seq $((count - 1))); do
        flags+=(--listen 127.0.0.1:0)
    done
    start_until "$OUT/good.out" '^ready$' "$LB" standin backend "${flags[@]}"
    start_until "$OUT/bad.out" '^ready$' "$LB" standin backend --listen 127.0.0.1:0
    good=$(word "$OUT/good.out" backend)
    bad=$(word "$OUT/bad.out" backend)
}

# Starts the platform with every VM, and puts each VM into its pool.
start_platform() {
    local addresses=() flags=() writes=() pool vms number=0 node name address identity
    mapfile -t addresses < <(awk '$1 == "backend" { sub("http://", "", $2); print $2 }' "$OUT/good.out")
    while read -r pool vms; do
        for index in $(seq "$vms"); do
            name="$pool-$index"
            if [ "$name" = "$BAD_POOL-1" ]; then
                address=${bad#http://}
            else
                address=${addresses[$number]}
                number=$((number + 1))
            fi
            local rack="rack-$((number / 4))" centre="centre-$((number / 4 % 3))"
            flags+=(--vm "$name,$address,$rack,$centre")
            identity="{\\\"vm\\\":\\\"$name\\\",\\\"address\\\":\\\"$address\\\",\\\"rack\\\":\\\"$rack\\\",\\\"data-centre\\\":\\\"$centre\\\"}"
            writes+=("{\"key\":\"vm/$name\",\"value\":\"{\\\"identity\\\":$identity,\\\"pool\\\":\\\"$pool\\\",\\\"phase\\\":\\\"serving\\\",\\\"revision\\\":1}\"}")
        done
    done < <(pools)
    for node in $(seq "$NODES"); do
        flags+=(--vm "entry-$node,127.0.0.1:1,rack-99,centre-0")
    done
    start_until "$OUT/platform.out" '^ready$' "$LB" standin platform --lag 0.5 "${flags[@]}"
    platform=$(word "$OUT/platform.out" platform)
    local list
    list=$(IFS=,; echo "${writes[*]}")
    curl -sf -m 5 -H 'redwing-client: measure' "$platform/platform" \
        -d "{\"commit\":{\"conditions\":[],\"writes\":[$list]}}" >/dev/null
}

# Starts entry process $1.
start_entry() {
    local digest
    digest=$(printf %s "$TOKEN" | sha256sum | cut -d' ' -f1)
    start_until "$OUT/entry-$1.out" '^admin ' "$LB" serve --platform "$platform" --node "entry-$1" \
        --peer-listen "127.0.0.1:$((PEER_PORT + $1))" --bootstrap-hash "$digest" --task-lease 5 --list-lag 1 --leave-delay 3
    entry_pids[$1]=$last_pid
}

wait_ready() {
    local node
    for node in $(seq "$NODES"); do
        for _ in $(seq 100); do
            curl -sf -m 1 "$(word "$OUT/entry-$node.out" listen)/readyz" >/dev/null && continue 2
            sleep 0.1
        done
        echo "measure: entry-$node did not become ready" >&2
        exit 1
    done
}

# Writes the experiment file: every team on every queue, the first two teams
# through the first entry process only.
write_experiment() {
    local queue team weights node
    {
        echo "targets = [$(for node in $(seq "$NODES"); do echo "\"$(word "$OUT/entry-$node.out" listen)\","; done)]"
        echo "backends = [\"$good\", \"$bad\"]"
        for queue in certificates inspections invoicing archive; do
            local index=0
            for team in $(teams); do
                index=$((index + 1))
                weights="[1, 1, 1]"
                [ "$index" -gt 2 ] || weights="[1, 0, 0]"
                echo "[[streams]]"
                echo "team = \"$team\""
                echo "queue = \"$queue\""
                echo "key = \"${keys[$team]}\""
                echo "run-seconds = $RUN"
                echo "target-weights = $weights"
            done
        done
    } >"$OUT/fleet.toml"
}

# Prints the time until every entry process refuses a withdrawn key, in ms.
measure_withdrawal() {
    local reply hash secret from node status
    reply=$("$CTL" key grant --team small-owners)
    secret=$(awk '$1 == "secret" { print $2 }' <<<"$reply")
    hash=$(awk '$1 == "hash" { print $2 }' <<<"$reply")
    sleep 3
    from=$(date +%s%3N)
    "$CTL" key withdraw --hash "$hash" >/dev/null
    for node in $(seq "$NODES"); do
        until [ "$(curl -s -m 1 -o /dev/null -w '%{http_code}' -d x -H "Authorization: Bearer $secret" \
            "$(word "$OUT/entry-$node.out" listen)/v1/queues/archive/requests")" = 401 ]; do
            sleep 0.01
        done
    done
    row "time until a withdrawn key is refused everywhere, ms" "< 2000" "key withdraw" \
        "$(($(date +%s%3N) - from))"
}

# Prints the bytes that the first entry process sent and received so far on
# connections with a port like $1.
bytes_of() {
    ss -tinpH | awk -v pid="pid=${entry_pids[1]}," -v port=":($1)$" '
        /^[A-Z]/ { wanted = index($0, pid) && ($4 ~ port || $5 ~ port) }
        wanted { for (i = 1; i <= NF; i++) if ($i ~ /^bytes_(sent|received):/) {
            split($i, part, ":"); sum += part[2] } }
        END { print sum + 0 }'
}

# Prints the processor time of the first entry process so far, in ms.
processor_time() {
    awk '{ print ($14 + $15) * 10 }' "/proc/${entry_pids[1]}/stat"
}

# Adds rows on what control costs the first entry process in state $1.
measure_control() {
    local peers="1910[0-9]" store="${platform##*:}" peer_bytes store_bytes time
    peer_bytes=$(bytes_of "$peers")
    store_bytes=$(bytes_of "$store")
    time=$(processor_time)
    sleep "$CONTROL_SECONDS"
    peer_bytes=$((($(bytes_of "$peers") - peer_bytes) / CONTROL_SECONDS))
    store_bytes=$((($(bytes_of "$store") - store_bytes) / CONTROL_SECONDS))
    time=$(($(processor_time) - time))
    row "bytes a second with two peers, $1" "< 7000" "ss -ti" "$peer_bytes"
    row "bytes a second with the table, $1" "-" "ss -ti" "$store_bytes"
    [ "$1" = idle ] || return 0
    row "processor time of the whole process, idle, % of a core" "< 2.7" "/proc/PID/stat" \
        "$(awk -v ms="$time" -v s="$CONTROL_SECONDS" 'BEGIN { printf "%.2f", ms / s / 10 }')"
    row "memory of the process, 50 workers, MB" "< 128" "/proc/PID/status" \
        "$(awk '/^VmRSS/ { printf "%.1f", $2 / 1024 }' "/proc/${entry_pids[1]}/status")"
}

set_table() {
    curl -sf -m 5 "$platform/control" -d "{\"all-faults\":{\"table-down\":$1}}" >/dev/null
}

declare -A keys
declare -a entry_pids
start_backends
start_platform
for node in $(seq "$NODES"); do
    start_entry "$node"
done
REDWING_ADMIN=$(for node in $(seq "$NODES"); do word "$OUT/entry-$node.out" admin; done | paste -sd,)
export REDWING_ADMIN REDWING_ADMIN_TOKEN="$TOKEN"
sleep 3
"$CTL" apply -f "$FLEET" --wait 20
for team in $(teams); do
    keys[$team]=$("$CTL" key grant --team "$team" | awk '$1 == "secret" { print $2 }')
done
wait_ready
write_experiment
sleep 3

measure_control idle
"$CTL" load -f "$OUT/fleet.toml" --rate 800 --rotation 5 --timeout 3 --seconds 14 >/dev/null &
tool=$!
sleep 2
measure_control "800 requests a second"
wait "$tool" || failures=$((failures + 1))

flags="--rate 800 --rotation 5 --timeout 3 --seconds 40 --threads 2"
# shellcheck disable=SC2086
load fleet-rotating -f "$OUT/fleet.toml" --declaration "$FLEET" $flags
row "share error, rotating 5x demand, 3 entry processes, 10 s windows, %" "< 5" "load $flags" \
    "$(percent "$(value fleet-rotating share-error)")"
row "promises broken, rotating demand" "0" "load $flags" "$(breaches fleet-rotating)"

measure_withdrawal

flags="--rate 400 --timeout 5 --seconds 15"
curl -sf -m 5 -X PUT "$bad/standin/fault" -d fail
# shellcheck disable=SC2086
load black-hole -f "$OUT/fleet.toml" $flags
curl -sf -m 5 -X PUT "$bad/standin/fault" -d none
row "answers lost to one worker in ten that fails everything, % of the queue" "< 1" "load $flags" \
    "$(awk -v lost="$(value black-hole total.server-errors)" -v sent="$(value black-hole total.scheduled)" \
        'BEGIN { printf "%.2f", 100 * lost / (sent / 4) }')"

flags="--rate 400 --timeout 5 --seconds 15"
(sleep 3; set_table true; sleep 8; set_table false) &
# shellcheck disable=SC2086
load table-down -f "$OUT/fleet.toml" $flags
wait $!
row "answers that are not \`ran\` while the table is down for 8 s" "0" "load $flags" \
    "$(($(value table-down total.scheduled) - $(value table-down total.ran)))"

flags="--rate 400 --timeout 5 --seconds 15 --once --idempotent"
(sleep 5 && kill -KILL "${entry_pids[$NODES]}") &
# A killed process can't answer what it held, so that the tool's verdict is not
# counted; the rows below are.
# shellcheck disable=SC2086
"$CTL" load --seed "$SEED" --json "$OUT/killed.json" -f "$OUT/fleet.toml" $flags || true
wait $!
row "requests without an answer after SIGKILL of one entry process" "-" "load $flags" \
    "$(value killed total.broken)"
row "not repeatable requests that ran twice after SIGKILL" "0" "load $flags" \
    "$(grep -c 'runs at most once' "$OUT/killed.json" || true)"

write_page "Three entry processes, measured from outside" <<'EOF'
Written by `scripts/measure-fleet.sh`, which starts the release binaries: three
entry processes, a stand-in platform, and 50 stand-in backend servers in the
pools of `examples/laurentien.toml`. Six teams on four queues; two of the teams
come through one entry process only. A request runs for 0.2 s.
EOF
[ "$failures" -eq 0 ]
