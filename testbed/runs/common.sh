# Functions shared by the demo and the failure tests. Sourced by these scripts.
#
# Starts a small fleet as plain processes on 127.0.0.1: a platform, backend
# servers and entry VMs. When the script ends, it kills every process by its id.
# A test calls `check` for each of its checks and prints the verdict at the end.

ROOT="$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)"
PROGRAMS="$ROOT/target/debug"
FIRST_PORT="${FOXTAILWINCH_FIRST_PORT:-21000}"
SEED="${SEED:-1}"
SCALE="${SCALE:-0.3}"
LOG_LEVEL="${LOG_LEVEL:-info}"
ENTRY_POINT_LIFETIME_MS=3000
# Slightly longer than the time within which a configuration must be in force on
# every VM.
IN_FORCE_S=12
ZONES=(kariakoo mbezi arusha moshi kariakoo arusha mbezi moshi)
REGIONS=(pwani pwani kaskazini kaskazini pwani kaskazini pwani kaskazini)

WORK="$(mktemp -d)"
PLATFORM="127.0.0.1:$FIRST_PORT"
declare -A PIDS=()
declare -A SERVER_ADDRESSES=()
declare -A SERVER_SLOTS=()
declare -A SERVER_WORK_MS=()
SERVERS=()
PASSED=0
FAILED=0
RANDOM=$SEED

caller_address() { echo "127.0.0.1:$((FIRST_PORT + 100 + $1))"; }
peer_address() { echo "127.0.0.1:$((FIRST_PORT + 200 + $1))"; }
operator_address() { echo "127.0.0.1:$((FIRST_PORT + 300 + $1))"; }

# say TEXT…: prints a line with the time of day.
say() { printf '%(%H:%M:%S)T %s\n' -1 "$*"; }

# Kills all processes that this script started, by their ids.
end_all() {
    local pid
    for pid in "${PIDS[@]}"; do
        kill -KILL "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    if [ -n "${KEEP_WORK:-}" ]; then
        say "working directory kept: $WORK"
    else
        rm -rf "$WORK"
    fi
}
trap end_all EXIT
trap 'exit 130' INT TERM

# require_free_port PORT: exits if another process listens on the port.
require_free_port() {
    if (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; then
        echo "port $1 is in use; set FOXTAILWINCH_FIRST_PORT to another first port" >&2
        exit 2
    fi
}

require_programs() {
    local program
    for program in curl timeout; do
        command -v "$program" >/dev/null || { echo "$program is not installed" >&2; exit 2; }
    done
    for program in foxtailwinch foxtailwinchd standin-platform standin-backend \
        standin-caller check-history print-shape; do
        if [ ! -x "$PROGRAMS/$program" ]; then
            echo "$program is not built; run: cargo build --workspace --locked" >&2
            exit 2
        fi
    done
}

# start NAME COMMAND…: starts a process in the background and appends its output
# to NAME.log.
start() {
    local name="$1"
    shift
    "$@" >>"$WORK/$name.log" 2>&1 &
    PIDS[$name]=$!
}

# signal NAME SIGNAL: sends a signal to a process by its id.
signal() { kill "-$2" "${PIDS[$1]}"; }

# kill_now NAME: kills a process with SIGKILL.
kill_now() {
    kill -KILL "${PIDS[$1]}" 2>/dev/null || true
    wait "${PIDS[$1]}" 2>/dev/null || true
    unset "PIDS[$1]"
}

is_running() {
    [ -n "${PIDS[$1]:-}" ] && kill -0 "${PIDS[$1]}" 2>/dev/null
}

# wait_for SECONDS COMMAND…: repeats a command until it succeeds. Fails after the
# given time.
wait_for() {
    local limit_ms=$(($1 * 1000)) started_ms
    started_ms=$(date +%s%3N)
    shift
    until "$@" >/dev/null 2>&1; do
        if (($(date +%s%3N) - started_ms > limit_ms)); then
            return 1
        fi
        sleep 0.1
    done
}

# wait_for_exit SECONDS NAME: waits until a process ends and sets EXIT_CODE to its
# exit code. Fails if the process is still running after the given time.
wait_for_exit() {
    local pid="${PIDS[$2]}"
    if ! wait_for "$1" is_gone "$2"; then
        return 1
    fi
    EXIT_CODE=0
    wait "$pid" || EXIT_CODE=$?
    unset "PIDS[$2]"
}

is_gone() { ! is_running "$1"; }

http() { curl --silent --fail --max-time 2 "$@"; }

# check TEXT COMMAND…: runs a command and counts the check as passed if the
# command succeeds, or else as failed.
check() {
    local text="$1"
    shift
    if "$@" >"$WORK/check.out" 2>&1; then
        PASSED=$((PASSED + 1))
        say "passed: $text"
    else
        FAILED=$((FAILED + 1))
        say "FAILED: $text"
        head -n 12 "$WORK/check.out" | sed 's/^/    /'
    fi
}

# verdict: prints the last line of a test, and fails if any check failed.
verdict() {
    echo "$PASSED passed, $FAILED failed"
    ((FAILED == 0))
}

start_platform() {
    require_free_port "$FIRST_PORT"
    start platform "$PROGRAMS/standin-platform" --listen "$PLATFORM" "$@"
    wait_for 5 http "http://$PLATFORM/vms"
}

# fault JSON: injects faults into the platform.
fault() { http -X POST "http://$PLATFORM/faults" -d "$1" >/dev/null; }

start_servers() {
    local name address slots work_ms
    while read -r name address slots work_ms; do
        require_free_port "${address##*:}"
        SERVERS+=("$name")
        SERVER_ADDRESSES[$name]="$address"
        SERVER_SLOTS[$name]="$slots"
        SERVER_WORK_MS[$name]="$work_ms"
        start_server "$name"
    done < <("$PROGRAMS/print-shape" --customer lebo --scale "$SCALE" \
        --first-port "$((FIRST_PORT + 401))" --servers)
    for name in "${SERVERS[@]}"; do
        wait_for 5 http "http://${SERVER_ADDRESSES[$name]}/health"
    done
    "$PROGRAMS/print-shape" --customer lebo --scale "$SCALE" \
        --first-port "$((FIRST_PORT + 401))" >"$WORK/bundle.yaml"
}

start_server() {
    start "$1" "$PROGRAMS/standin-backend" --listen "${SERVER_ADDRESSES[$1]}" \
        --name "$1" --slots "${SERVER_SLOTS[$1]}" --work-ms "${SERVER_WORK_MS[$1]}" \
        --seed "$SEED" --run-log "$WORK/$1.runs"
}

# set_mode SERVER JSON: sets the gray mode of a backend server.
set_mode() {
    http -X POST "http://${SERVER_ADDRESSES[$1]}/control/mode" -d "$2" >/dev/null
}

# list_vm NUMBER [LEAVING]: adds a VM to the platform's list, or changes it.
list_vm() {
    local number="$1" leaving="${2:-false}"
    http -X PUT "http://$PLATFORM/vms/vm-$number" -d @- >/dev/null <<JSON
{"id": "vm-$number", "leaving": $leaving,
 "availability_zone": "${ZONES[number - 1]}", "region": "${REGIONS[number - 1]}",
 "caller_address": "$(caller_address "$number")",
 "operator_address": "$(operator_address "$number")",
 "peer_address": "$(peer_address "$number")"}
JSON
}

# start_vm NUMBER: starts the daemon of a VM that the platform already lists.
start_vm() {
    local number="$1"
    cat >"$WORK/vm-$number.yaml" <<YAML
vm_id: vm-$number
region: ${REGIONS[number - 1]}
availability_zone: ${ZONES[number - 1]}
caller_address: $(caller_address "$number")
peer_address: $(peer_address "$number")
operator_address: $(operator_address "$number")
log_service_address: $PLATFORM
log_level: $LOG_LEVEL
entry_point_lifetime_ms: $ENTRY_POINT_LIFETIME_MS
YAML
    start "vm-$number" "$PROGRAMS/foxtailwinchd" --settings "$WORK/vm-$number.yaml"
}

vm_answers() { http "http://$(operator_address "$1")/status"; }

# start_vms COUNT: lists and starts VMs 1 to COUNT.
start_vms() {
    local number port
    VM_COUNT="$1"
    for ((number = 1; number <= VM_COUNT; number++)); do
        for port in 100 200 300; do
            require_free_port "$((FIRST_PORT + port + number))"
        done
        list_vm "$number"
    done
    for ((number = 1; number <= VM_COUNT; number++)); do
        start_vm "$number"
    done
    for ((number = 1; number <= VM_COUNT; number++)); do
        wait_for 5 vm_answers "$number"
    done
}

# tool ARGUMENTS…: runs the operators' tool.
tool() {
    timeout 25 "$PROGRAMS/foxtailwinch" "$@" --log "http://$PLATFORM"
}

# publish VERSION BASE: proposes, signs off and rolls out the bundle.
publish() {
    tool bundle publish "$WORK/bundle.yaml" --version "$1" --base "$2" --operator asha &&
        tool bundle sign-off "$1" --operator baraka &&
        tool bundle roll-out "$1" --operator asha --wait-ms "$((IN_FORCE_S * 1000))"
}

# vm_has VERSION NUMBER: succeeds if the bundle is in force on a VM.
vm_has() { vm_answers "$2" | grep -q "\"configuration_version\":\"$1\""; }

# all_have VERSION: succeeds if the bundle is in force on VMs 1 to VM_COUNT.
all_have() {
    local number
    for ((number = 1; number <= VM_COUNT; number++)); do
        vm_has "$1" "$number" || { echo "$1 is not in force on vm-$number"; return 1; }
    done
}

# takes_callers NUMBER: succeeds if a VM returns entry points with key prefixes.
takes_callers() {
    http "http://$(caller_address "$1")/.foxtailwinch/entry-points" | grep -q key_prefix
}

wait_for_entry_points() {
    local number
    for ((number = 1; number <= VM_COUNT; number++)); do
        wait_for 10 takes_callers "$number" || return 1
    done
}

# break_off TEXT: ends a test whose fleet cannot be started.
break_off() {
    echo "cannot start: $1" >&2
    exit 2
}

# start_fleet COUNT: starts the platform, the servers and COUNT VMs, and waits
# until bundle v1 is in force on all VMs.
start_fleet() {
    require_programs
    start_platform
    start_servers
    start_vms "$1"
    publish v1 none >"$WORK/publish.log" 2>&1 || break_off "publish failed"
    wait_for "$IN_FORCE_S" all_have v1 || break_off "v1 is not in force everywhere"
    wait_for_entry_points || break_off "a VM returns no entry points"
    say "started: platform, ${#SERVERS[@]} servers, $1 entry VMs, bundle v1 in force (seed $SEED)"
}

# call NAME SECONDS ARGUMENTS…: starts a caller in the background with a time
# limit. The caller writes its history to NAME.history. It knows VMs 1 to VM_COUNT
# and queries vm-$NEAR_VM first, so that its entry points are in that VM's region.
NEAR_VM=1
call() {
    local name="$1" limit_s="$2" entries=() index
    shift 2
    for ((index = 0; index < VM_COUNT; index++)); do
        entries+=(--entry "$(caller_address "$(((NEAR_VM - 1 + index) % VM_COUNT + 1))")")
    done
    # Runs without `timeout`, because the id in PIDS must be that of the caller
    # itself, so that the caller can be killed by it.
    start "$name" "$PROGRAMS/standin-caller" "${entries[@]}" \
        --history "$WORK/$name.history" --seed "$SEED" "$@"
    CALLERS+=("$name")
    CALLER_ENDS_S[$name]=$((SECONDS + limit_s))
}
CALLERS=()
declare -A CALLER_ENDS_S=()

# Callers for each kind of request. Arguments: NAME SECONDS ARGUMENTS…
call_lookups() { call "$1" "$2" --path /bei/4006381333931 --deadline-ms 1000 "${@:3}"; }
call_orders() {
    call "$1" "$2" --path /agizo/orders --method POST --body-bytes 2000 --keyed \
        --deadline-ms 3000 "${@:3}"
}
call_uploads() {
    call "$1" "$2" --path /orodha/catalogues --method POST --keyed \
        --deadline-ms 20000 "${@:3}"
}

# await_caller NAME: waits until a caller ends. Kills the caller at its time limit
# and sets EXIT_CODE to 124.
await_caller() {
    local left_s=$((CALLER_ENDS_S[$1] - SECONDS))
    if ! wait_for_exit "$((left_s > 0 ? left_s : 0))" "$1"; then
        kill_now "$1"
        EXIT_CODE=124
    fi
}

# end_of_caller NAME: waits for a caller and prints its report.
end_of_caller() {
    await_caller "$1"
    say "$1 (exit code $EXIT_CODE):"
    sed 's/^/    /' "$WORK/$1.log"
    return "$EXIT_CODE"
}

# report_count NAME SECTION LABEL: prints a count from a caller's report, or 0 if
# it is missing.
report_count() {
    awk -v section="$2:" -v label="$3" '
        /^[a-z]/ { inside = ($0 == section) }
        inside && index($0, "  " label ": ") == 1 { count = $NF }
        END { print count + 0 }' "$WORK/$1.log"
}

# all_answered NAME COUNT: succeeds if all COUNT requests of a caller were answered.
all_answered() {
    local answered
    answered=$(report_count "$1" requests answered)
    echo "$answered of $2 answered"
    ((answered == $2))
}

# at_least NAME SECTION LABEL COUNT: succeeds if a count from a caller's report is
# at least COUNT.
at_least() {
    local count
    count=$(report_count "$1" "$2" "$3")
    echo "$2 $3: $count, expected at least $4"
    ((count >= $4))
}

# check_histories: checks the histories of all callers against the run logs of all
# servers.
check_histories() {
    local arguments=() name
    for name in "${CALLERS[@]}"; do
        arguments+=(--history "$WORK/$name.history")
    done
    for name in "${SERVERS[@]}"; do
        if is_running "$name"; then
            arguments+=("http://${SERVER_ADDRESSES[$name]}/control/runs")
        else
            arguments+=(--run-log "$WORK/$name.runs")
        fi
    done
    timeout 20 "$PROGRAMS/check-history" "${arguments[@]}" 2>&1 |
        tee "$WORK/check-history.log"
    return "${PIPESTATUS[0]}"
}

# history_counts NAME: counts a caller's attempts by outcome, reason and verdict,
# also if the caller was killed.
history_counts() {
    sed -E 's/.*"outcome":"([^"]*)","reason":("?[^",]*"?),.*"verdict":("?[^"}]*"?)}$/\1 \2 \3/' \
        "$WORK/$1.history" | sort | uniq -c | sed 's/^/    /'
}

# keys_known: succeeds if every key that ran is in a caller's history.
keys_known() {
    local name
    for name in "${SERVERS[@]}"; do
        if is_running "$name"; then
            http "http://${SERVER_ADDRESSES[$name]}/control/runs"
        else
            cat "$WORK/$name.runs"
        fi
        echo
    done | grep -o '"idempotency_key":"[^"]*"' | cut -d'"' -f4 | sort -u >"$WORK/keys.run"
    for name in "${CALLERS[@]}"; do
        grep -o '"key":"[^"]*"' "$WORK/$name.history" || true
    done | cut -d'"' -f4 | sort -u >"$WORK/keys.sent"
    comm -23 "$WORK/keys.run" "$WORK/keys.sent" >"$WORK/keys.foreign"
    echo "$(wc -l <"$WORK/keys.foreign") keys ran that are in no caller's history:"
    cat "$WORK/keys.foreign"
    [ ! -s "$WORK/keys.foreign" ]
}

# final_check: checks the histories at the end of a test.
final_check() {
    check "history: no violation" check_histories
    check "history: each key that ran was sent by a caller" keys_known
    sed 's/^/    /' "$WORK/check-history.log" | tail -n 12
}

# pause_between MIN MAX: sleeps for a random time of MIN to MAX milliseconds.
pause_between() {
    local ms=$(($1 + RANDOM % ($2 - $1 + 1)))
    sleep "$((ms / 1000)).$(printf '%03d' $((ms % 1000)))"
}

# show_errors [LIMIT]: prints the daemons' most frequent warnings and errors.
show_errors() {
    grep -hE 'WARN|ERROR|panicked' "$WORK"/vm-*.log | cut -c1-160 |
        sed -E 's/[0-9]+/N/g' | sort | uniq -c | sort -rn | head -n "${1:-8}" | sed 's/^/    /'
}

no_panic() { ! grep -h 'panicked' "$WORK"/vm-*.log; }
