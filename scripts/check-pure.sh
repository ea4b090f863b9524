#!/bin/sh
# Fails if a package listed in .ci/pure-packages does I/O, reads a clock, logs,
# imports math/rand or starts a goroutine. It looks at imports and calls by
# pattern only. Such packages take events, state, time and a seed as arguments
# and return actions, so that others can embed and replay them.
set -eu
cd "$(dirname "$0")/.."
status=0
while read -r pkg; do
	[ -n "$pkg" ] || continue
	files=$(find "$pkg" -maxdepth 1 -name '*.go' ! -name '*_test.go')
	[ -n "$files" ] || { echo "check-pure: $pkg has no Go files" >&2; status=1; continue; }
	bad=$(grep -nE '^[[:space:]]*(import )?"(net|os|os/.*|net/.*|syscall|log|log/.*|github.com/go-kit/log.*|github.com/valyala/.*|github.com/panjf2000/.*|github.com/twitchtv/.*|golang.org/x/sys.*|math/rand)"' $files || true)
	clock=$(grep -nE 'time\.(Now|Since|Until|Sleep|After|AfterFunc|Tick|NewTimer|NewTicker)\b' $files || true)
	goroutine=$(grep -nE '^[[:space:]]*go (func|[a-zA-Z_.]+\()' $files || true)
	if [ -n "$bad$clock$goroutine" ]; then
		echo "check-pure: $pkg is not pure:" >&2
		printf '%s\n' "$bad" "$clock" "$goroutine" | sed '/^$/d' >&2
		status=1
	fi
done < .ci/pure-packages
exit $status
