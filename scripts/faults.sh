#!/usr/bin/env bash
# A trial with other faults: daemons that are suspended and resumed (one whose
# target checks no grants, one whose target does, and the leader of placement),
# a store that is slow and loses answers, and, after the load, a kill and restart
# of all daemons and targets. docs/TRIAL.md explains it.
# scripts/trial-lib.sh lists the settings.
set -euo pipefail
cd "$(dirname "$0")/.."
DURATION=${DURATION:-42}
TRIAL_DIR=${TRIAL_DIR:-trial-faults}
BASE_PORT=${BASE_PORT:-25000}
# shellcheck source=scripts/trial-lib.sh
. scripts/trial-lib.sh

# Start times in seconds after the start of the load, and durations in seconds.
# for_ms in store_fault is store_fault_s in milliseconds.
freeze_at=3
freeze_checking_at=12
freeze_leader_at=21
store_at=30
freeze_s=6
store_fault='{"slow_ms":500,"lose_answers":0.5,"for_ms":5000}'
store_fault_s=5

# freeze suspends a daemon's process for freeze_s seconds.
freeze() {
	local host=$1 at=$2
	mark freeze begin "$host"
	kill -STOP "${pids[$host]}"
	until_second $((at + freeze_s))
	kill -CONT "${pids[$host]}"
	mark freeze end "$host"
}

# status prints the status of the fleet according to one daemon.
status() {
	"$tool" get "${STOP_READY%/ready}/status"
}

# fleet_recovered reports whether each host has a live session that began after
# $began, no earlier session is live, and every slice has a live owner. An
# incarnation is the start time of its session in nanoseconds.
fleet_recovered() {
	local seen live
	seen=$(status)
	live=$(grep -o '"incarnation":[0-9]*},"place":{[^}]*},"state":"live"' <<<"$seen" | grep -o '[0-9]\{19\}')
	[ "$(wc -l <<<"$live")" = "$hosts" ] || return 1
	[[ "$(sort <<<"$live" | head -n 1)" > "$began" ]] || return 1
	! grep -q '"slices":[1-9][0-9]*,"of"' <<<"$seen"
}

# await_owned waits until the sessions from before the restart are recorded as
# lost and their slices have new owners.
await_owned() {
	local end=$((SECONDS + ready_bound)) hosts
	hosts=$(wc -w <<<"$READY")
	until fleet_recovered; do
		((SECONDS < end)) || fail "slices without an owner $ready_bound s after the restart"
		sleep 0.05
	done
}

# leader prints the host that leads placement.
leader() {
	status | sed -n 's/.*"placement":{"leader":{"host":"\([^"]*\)".*/\1/p'
}

slow_store() {
	mark store_slow begin
	"$tool" post "$STORE/stand/fault" "$store_fault" || fail "the store takes no fault"
	until_second $((store_at + store_fault_s))
	mark store_slow end
}

# restart_all kills every daemon and target, starts all again and prints how long
# that took and the store's call counts before and after.
restart_all() {
	local name began
	for name in "${!pids[@]}"; do
		[ "$name" = store ] || kill -KILL "${pids[$name]}"
	done
	for name in "${!pids[@]}"; do
		[ "$name" = store ] && continue
		wait "${pids[$name]}" 2>/dev/null || true
		unset "pids[$name]"
	done
	echo "store calls before the restart: $("$tool" get "$STORE/stand/calls")"
	began=$(date +%s%N)
	start_hosts
	await_owned
	echo "restart of everything: all slices owned after $((($(date +%s%N) - began) / 1000000)) ms"
	echo "store calls after it: $("$tool" get "$STORE/stand/calls")"
}

prepare
# Callers wait longer than a freeze, so that late answers are recorded.
sed -i 's/"grace_ms": [0-9]*/"grace_ms": 8000/' "$TRIAL_DIR/load.json"
start_load
until_second "$freeze_at"
freeze "$STOP_HOST" "$freeze_at"
until_second "$freeze_checking_at"
freeze "$KILL_HOST" "$freeze_checking_at"
until_second "$freeze_leader_at"
leads=$(leader)
[ -n "$leads" ] || fail "nobody leads placement"
echo "trial: the leader is $leads"
freeze "$leads" "$freeze_leader_at"
until_second "$store_at"
slow_store
await_load
restart_all
finish
