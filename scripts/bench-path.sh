#!/usr/bin/env bash
# Measures the latency that daemons add to a request: starts the daemons that
# rhubarb-bench plans, runs the benchmark, and ends them. Flags are passed to
# rhubarb-bench.
set -euo pipefail
cd "$(dirname "$0")/.."

dir=$(mktemp -d)
pids=()

cleanup() {
	for pid in "${pids[@]}"; do
		kill -KILL "$pid" 2>/dev/null || true
	done
	wait 2>/dev/null || true
	rm -rf "$dir"
}
trap cleanup EXIT

bin/rhubarb-bench --dir "$dir" --plan "$@" >"$dir/launch.tsv"
while IFS=$'\t' read -r file command; do
	$command &
	pids+=("$!")
	echo "$!" >"$file"
done <"$dir/launch.tsv"
bin/rhubarb-bench --dir "$dir" "$@"
