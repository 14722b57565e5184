# Functions shared by the measurement scripts. Source this file, don't run it.
# On exit, only the processes that the script started are terminated.

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

# Starts a program in the background, with its standard output in file $1, and
# waits up to 10 s for a line that matches pattern $2. The other arguments are
# the command.
start_and_wait() {
    local output="$1" pattern="$2" tries=0
    shift 2
    # Output of an earlier run could already match the pattern.
    : >"$output"
    "$@" >>"$output" 2>"$output.log" &
    last_pid=$!
    pids+=("$last_pid")
    until grep -q "$pattern" "$output"; do
        sleep 0.1
        tries=$((tries + 1))
        if [ "$tries" -gt 100 ]; then
            echo "measure: $* did not print $pattern" >&2
            exit 1
        fi
    done
}

# Prints the value after key $2 in the start-up output in file $1.
startup_value() {
    awk -v key="$2" '$1 == key { print $2; exit }' "$1"
}

# Runs load experiment $1 and writes its report; the other arguments are passed
# to `redwingctl load`.
run_load() {
    local name="$1"
    shift
    echo "== $name: redwingctl load $*"
    if ! "$CTL" load --seed "$SEED" --json "$OUT/$name.json" "$@"; then
        failures=$((failures + 1))
    fi
}

# Prints field $2 of the report of experiment $1.
report_value() {
    "$CTL" value "$OUT/$1.json" "$2"
}

# Prints fraction $1 as a percentage, or a dash if it was not measured.
format_percent() {
    if [ "$1" = null ]; then
        echo "-"
    else
        awk -v part="$1" 'BEGIN { printf "%.1f", 100 * part }'
    fi
}

# Prints the number of guarantee violations in the report of experiment $1.
count_violations() {
    awk -F'[:,]' '/"promise"/ { open = 1 } open && /"count"/ { sum += $2; open = 0 }
        END { print sum + 0 }' "$OUT/$1.json"
}

# Prints the value of figure $1 that an earlier run of command $2 wrote to page
# $PAGE, or a dash if there is none.
earlier_value() {
    [ -f "$PAGE" ] || { echo "-"; return; }
    awk -F' [|] ' -v figure="| $1" -v command="\`$2\`" '$1 == figure && $3 == command { sub(/ [|]$/, "", $6); print $6; found = 1 }
        END { if (!found) print "-" }' "$PAGE"
}

# Adds a row to the table of the page. Arguments: figure, target, command and
# measured value.
add_row() {
    rows+=("| $1 | $2 | \`$3\` | $SEED | $(earlier_value "$1" "$3") | $4 |")
}

# Writes page $PAGE: title $1, the description of the set-up from standard input,
# and the table of rows.
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
    echo "experiments that failed or violated a guarantee: $failures"
}

cargo build --release --locked --bins
mkdir -p "$OUT"
load_average=$(cut -d' ' -f1 /proc/loadavg)
