# Functions shared by the trial scripts, which source this file from the
# repository's root. Settings are environment variables: SEED, LAYOUT,
# BASE_PORT, RATE, DURATION (seconds), TRIAL_DIR, BIN.
# shellcheck shell=bash

SEED=${SEED:-1}
LAYOUT=${LAYOUT:-rayuela}
BASE_PORT=${BASE_PORT:-20000}
RATE=${RATE:-300}
DURATION=${DURATION:-20}
TRIAL_DIR=${TRIAL_DIR:-trial}
BIN=${BIN:-bin}

# Limits on how long the script waits, in seconds.
ready_bound=30
stop_bound=20

tool=$BIN/rhubarb-trial
declare -A pids
problems=()

# fail ends the trial when it could not be completed.
fail() {
	echo "trial: $1" >&2
	echo "trial: FAILED requests=0 lost=0 repeated=0 two_owners=0 false_not_run=0 cut_off=0 p99_ms=0 imbalance=0 churn=0 unavailable_ms=0"
	exit 1
}

# start starts the named process with its command from the launch list.
start() {
	local name=$1 command
	command=$(awk -F'\t' -v name="$name" '$1 == name { print $2 }' "$TRIAL_DIR/launch.tsv")
	$command >>"$TRIAL_DIR/$name.out" 2>&1 &
	pids[$name]=$!
}

# check_started fails the trial if a process has exited: another process may hold
# its port and answer in its place.
check_started() {
	local name
	for name in "${!pids[@]}"; do
		kill -0 "${pids[$name]}" 2>/dev/null || fail "$(tail -n 1 "$TRIAL_DIR/$name.out")"
	done
}

# await waits until a process has ended. After stop_bound seconds it kills the
# process and adds a problem.
await() {
	local pid=${pids[$1]} end=$((SECONDS + stop_bound))
	while kill -0 "$pid" 2>/dev/null; do
		if ((SECONDS >= end)); then
			problems+=(--problem "$1 did not end within $stop_bound s")
			kill -KILL "$pid" 2>/dev/null || true
			break
		fi
		sleep 0.05
	done
	wait "$pid" 2>/dev/null || true
	unset "pids[$1]"
}

cleanup() {
	local name
	for name in "${!pids[@]}"; do
		kill -KILL "${pids[$name]}" 2>/dev/null || true
	done
	wait 2>/dev/null || true
}
trap cleanup EXIT
trap 'exit 130' INT TERM

mark() {
	"$tool" mark --file "$TRIAL_DIR/faults.jsonl" "$@"
}

# until_second waits until the given second after the start of the load.
until_second() {
	local now wait
	now=$(date +%s%N)
	wait=$((load_start + $1 * 1000000000 - now))
	if ((wait > 0)); then
		sleep "$(printf '%d.%09d' $((wait / 1000000000)) $((wait % 1000000000)))"
	fi
}

# note_exited adds a problem for each process that exited without being stopped.
note_exited() {
	local name
	for name in "${!pids[@]}"; do
		kill -0 "${pids[$name]}" 2>/dev/null || problems+=(--problem "$name ended by itself; see $TRIAL_DIR/$name.out")
	done
}

stop_all() {
	local name
	for name in "${!pids[@]}"; do
		[ "$name" = store ] || kill -TERM "${pids[$name]}" 2>/dev/null || true
	done
	for name in "${!pids[@]}"; do
		[ "$name" = store ] || await "$name"
	done
	kill -TERM "${pids[store]}" 2>/dev/null || true
	await store
}

# start_hosts starts all daemons and targets and waits until every daemon is
# ready.
start_hosts() {
	local name
	while IFS=$'\t' read -r name _; do
		[ "$name" = store ] || start "$name"
	done <"$TRIAL_DIR/launch.tsv"
	# shellcheck disable=SC2086
	"$tool" wait --for "${ready_bound}s" $TARGETS || fail "a target is not up; see $TRIAL_DIR/*.out"
	# shellcheck disable=SC2086
	"$tool" wait --status 200 --for "${ready_bound}s" $READY || fail "a daemon is not ready; see $TRIAL_DIR/*.out and *.log"
	check_started
}

# prepare starts all processes and waits until every daemon is ready.
prepare() {
	rm -rf "$TRIAL_DIR"
	"$tool" settings --layout "$LAYOUT" --seed "$SEED" --base-port "$BASE_PORT" --dir "$TRIAL_DIR" --bin "$BIN" \
		--rate "$RATE" --for-ms $((DURATION * 1000)) || fail "no settings"
	# shellcheck disable=SC1091
	. "$TRIAL_DIR/plan.env"
	: >"$TRIAL_DIR/faults.jsonl"

	start store
	"$tool" wait --for "${ready_bound}s" "$STORE/stand/calls" || fail "the store is not up; see $TRIAL_DIR/store.out"
	check_started
	"$tool" upload --store "$STORE" --file "examples/$LAYOUT.json" || fail "no document"
	start_hosts
}

# start_load starts the callers.
start_load() {
	echo "trial: $LAYOUT, seed $SEED, $RATE requests/s for $DURATION s"
	load_start=$(date +%s%N)
	"$BIN/rhubarb-load" --settings "$TRIAL_DIR/load.json" --records "$TRIAL_DIR/load.jsonl" >"$TRIAL_DIR/load.out" 2>&1 &
	pids[load]=$!
}

# await_load waits for the callers and saves the outcomes kept in the store.
await_load() {
	wait "${pids[load]}" || fail "the load tool failed; see $TRIAL_DIR/load.out"
	unset "pids[load]"
	"$tool" kept --store "$STORE" --file "$TRIAL_DIR/outcomes.json" || fail "the outcomes can't be read"
}

# finish ends all processes and prints the verdict as the last line.
finish() {
	note_exited
	stop_all
	echo "callers: $(cat "$TRIAL_DIR/load.out")"
	"$tool" report --dir "$TRIAL_DIR" --title "Trial of $LAYOUT, seed $SEED" || echo "trial: no report" >&2
	"$tool" judge --dir "$TRIAL_DIR" "${problems[@]}"
}
