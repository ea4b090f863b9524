#!/usr/bin/env bash
# A trial on loopback addresses: a store, a daemon and a target for each host
# of a layout, callers, a planned stop, a killed host and a store outage. The
# last line summarizes what callers and targets recorded; docs/TRIAL.md explains it.
# scripts/trial-lib.sh lists the settings.
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/trial-lib.sh
. scripts/trial-lib.sh

# Start times in seconds after the start of the load, and the duration of the
# outage in milliseconds.
stop_at=3
kill_at=8
outage_at=13
outage_ms=4000

planned_stop() {
	mark planned_stop begin "$STOP_HOST"
	"$tool" post "$STOP_TARGET/target/drain" '' || fail "the target of $STOP_HOST does not drain"
	kill -TERM "${pids[$STOP_HOST]}"
	await "$STOP_HOST"
	kill -TERM "${pids[$STOP_HOST-target]}"
	await "$STOP_HOST-target"
	mark planned_stop end "$STOP_HOST"
	start "$STOP_HOST"
	start "$STOP_HOST-target"
}

kill_host() {
	mark kill begin "$KILL_HOST"
	kill -KILL "${pids[$KILL_HOST]}" "${pids[$KILL_HOST-target]}"
	wait "${pids[$KILL_HOST]}" "${pids[$KILL_HOST-target]}" 2>/dev/null || true
	unset "pids[$KILL_HOST]" "pids[$KILL_HOST-target]"
	mark kill end "$KILL_HOST"
}

store_outage() {
	mark store_outage begin
	"$tool" post "$STORE/stand/fault" "{\"outage\":true,\"for_ms\":$outage_ms}" || fail "the store takes no fault"
	until_second $((outage_at + outage_ms / 1000))
	mark store_outage end
}

prepare
start_load
until_second "$stop_at"
planned_stop
until_second "$kill_at"
kill_host
until_second "$outage_at"
store_outage
await_load
finish
