# Shared by the scripts of the cases: the stand-in platform, three processes with the
# command of deploy/system.toml, and calls to them. Source it from `run.sh`.
#
# A script sets `case_dir` first, and ends with `finish STATUS`.

set -uo pipefail

readonly repository=$(cd "$case_dir/../.." && pwd)
readonly record=$case_dir/record.txt
readonly tool=$repository/target/review/release/review-tool
readonly key='Key: inspectors-key'
scratch=$(mktemp -d) || exit 2
pids=()

note() {
    printf '%s %s\n' "$(date +%H:%M:%S.%3N)" "$*" >>"$record"
}

stop_all() {
    local pid
    for pid in "${pids[@]}"; do kill -9 "$pid"; done
    wait
    rm -rf "$scratch"
}

finish() {
    note "exit status $1"
    stop_all 2>/dev/null
    exit "$1"
}

# Ends what was started also if the script is ended.
trap 'finish 2' INT TERM

cannot_run() {
    note "cannot run: $1"
    finish 2
}

# Starts the platform and the processes; the options go to the platform.
start_all() {
    : >"$record"
    note "TROUBLE=${TROUBLE:-1}"
    cd "$repository" || cannot_run 'no repository'
    [[ -x $tool ]] || cannot_run 'review/build.sh has not run'
    target/release/redwingctl platform --listen 127.0.0.1:0 --settings-dir "$scratch" "$@" \
        >"$scratch/platform.txt" 2>&1 &
    pids+=($!)
    local tries
    for ((tries = 0; tries < 50; tries++)); do
        [[ -s $scratch/process-3.toml ]] && grep -q state "$scratch/platform.txt" && break
        sleep 0.1
    done
    platform=$(sed -n 's/^platform \(http:.*\)$/\1/p' "$scratch/platform.txt")
    [[ -n $platform ]] || cannot_run 'the platform has not started'
    # Evacuations are not in force: their settings are left out.
    sed -i '/^evacMs/d; /^cold/d' "$scratch"/process-*.toml
    callers=()
    local n
    for n in 1 2 3; do
        REDWINGLB_BOOT=$scratch/process-$n.toml target/release/redwinglb jobs \
            --job-platform deployed >"$scratch/$n.log" 2>&1 &
        pids+=($!)
        callers+=("$(sed -n "s/^process $n .* callers \(http:[^ ]*\) .*/\1/p" "$scratch/platform.txt")")
    done
    sleep 4
    call GET "${callers[0]}/annex/"
    [[ $reply == 200* ]] || cannot_run "the processes do not serve: $reply"
}

# Sends a call to a process: METHOD URL [BODY]; sets `reply`.
call() {
    reply=$("$tool" call "$1" "$2" "${3:-}" "$key" 2>&1)
    note "$1 $2 ${3:-} -> $reply"
}

# Submits job number N to queue `annex` through one of the processes.
submit() {
    call POST "${callers[$(($1 % 3))]}/annex/$(job_id "$1")" "$2"
    [[ $reply == 200* ]] && accepted=$((accepted + 1))
}
accepted=0
number=0

# Submits jobs one after the other for a number of seconds.
submit_for() {
    local until_s=$((SECONDS + $1))
    while ((SECONDS < until_s)); do
        submit "$number" "$2"
        number=$((number + 1))
        sleep 0.08
    done
}

job_id() {
    printf '%016x' $((0xb000 + $1))
}

# Adds the faults in the text, unless TROUBLE is 0.
add_faults() {
    if [[ ${TROUBLE:-1} == 0 ]]; then
        note 'no disruption'
        return
    fi
    note "faults, in seconds from now:"$'\n'"$1"
    local added
    added=$("$tool" call POST "$platform/stand-in/faults" "$1" 2>&1)
    note "-> $added"
    [[ $added == 200* ]] || cannot_run 'the faults were not accepted'
}

# Reads the state of the platform into `state.json`.
read_state() {
    "$tool" call GET "$platform/stand-in/state" '' 2>&1 | sed 's/^200 //' >"$scratch/state.json"
}

# Judges the runs of all subtasks; the exit status is that of the script. With `repeated`,
# only starts count that have a higher run than one that was done.
judge_runs() {
    read_state
    "$tool" judge "${1:-all}" "$scratch/state.json" >>"$record" 2>&1
    local status=$?
    tail -n 1 "$record"
    return "$status"
}
