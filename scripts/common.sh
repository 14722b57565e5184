# Functions that the measuring scripts share; sourced, not run.
# They end only the processes that they started.

readonly SEED="${SEED:-1}"
readonly OUT="target/measure"
readonly LB="target/release/redwinglb"
readonly CTL="target/release/redwingctl"

pids=()
rows=()
failures=0

stop_all() {
    local pid
    for pid in "${pids[@]}"; do
        kill "$pid" 2>/dev/null || true
    done
    pids=()
}
trap stop_all EXIT

# Starts a program until it prints a line like $2; its standard output goes to $1.
start_until() {
    local lines="$1" expected="$2" tries=0
    shift 2
    # The lines of an earlier run must not count.
    : >"$lines"
    "$@" >>"$lines" 2>"$lines.log" &
    last_pid=$!
    pids+=("$last_pid")
    until grep -q "$expected" "$lines"; do
        sleep 0.1
        tries=$((tries + 1))
        if [ "$tries" -gt 100 ]; then
            echo "measure: $* did not print $expected" >&2
            exit 1
        fi
    done
}

# Prints the word after $2 in the start-up lines of $1.
word() {
    awk -v key="$2" '$1 == key { print $2; exit }' "$1"
}

# Runs a load experiment named $1; the other arguments go to the tool.
load() {
    local name="$1"
    shift
    echo "== $name: redwingctl load $*"
    if ! "$CTL" load --seed "$SEED" --json "$OUT/$name.json" "$@"; then
        failures=$((failures + 1))
    fi
}

value() {
    "$CTL" value "$OUT/$1.json" "$2"
}

# Prints fraction $1 in percent, or a dash if it was not measured.
percent() {
    if [ "$1" = null ]; then
        echo "-"
    else
        awk -v part="$1" 'BEGIN { printf "%.1f", 100 * part }'
    fi
}

# Prints how often the promises were broken in experiment $1.
breaches() {
    awk -F'[:,]' '/"promise"/ { open = 1 } open && /"count"/ { sum += $2; open = 0 }
        END { print sum + 0 }' "$OUT/$1.json"
}

# Prints what an earlier run of command $2 wrote on page $PAGE for figure $1.
earlier() {
    [ -f "$PAGE" ] || { echo "-"; return; }
    awk -F' [|] ' -v figure="| $1" -v command="\`$2\`" '$1 == figure && $3 == command { sub(/ [|]$/, "", $6); print $6; found = 1 }
        END { if (!found) print "-" }' "$PAGE"
}

# Adds a row: figure, target, command, value now.
row() {
    rows+=("| $1 | $2 | \`$3\` | $SEED | $(earlier "$1" "$3") | $4 |")
}

# Writes page $PAGE with title $1 and what standard input says of the set-up.
write_page() {
    mkdir -p "$(dirname "$PAGE")"
    {
        echo "# $1"
        echo
        cat
        echo
        echo "All on one machine over loopback: $(nproc) cores, load average at the start"
        echo "$load_average, commit $(git rev-parse --short HEAD)."
        echo
        echo "| figure | target | command | seed | earlier figure | now |"
        echo "| --- | --- | --- | --- | --- | --- |"
        printf '%s\n' "${rows[@]}"
    } >"$OUT/page.md"
    mv "$OUT/page.md" "$PAGE"
    cat "$PAGE"
    echo "experiments with a broken promise: $failures"
}

cargo build --release --locked --bins
mkdir -p "$OUT"
load_average=$(cut -d' ' -f1 /proc/loadavg)
