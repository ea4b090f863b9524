package daemon

import (
	"flag"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/result"
)

var update = flag.Bool("update", false, "write the golden files anew")

var (
	logTime        = regexp.MustCompile(`\bts=\S+`)
	logService     = regexp.MustCompile(`service_ms=\d+`)
	logAddress     = regexp.MustCompile(`address=\S+`)
	logIncarnation = regexp.MustCompile(`/\d{10,}`)
)

// Each decision about a request leaves a line at the daemon that took it.
func TestLogLinesOfARequest(t *testing.T) {
	p := newRoutingPair(t, event.Info)
	a := p.call(t, p.entry, "order-1", []byte("body"))
	must.Eq(t, result.OK, a.Code)
	must.Eq(t, "body", string(a.Body))
	p.isGolden(t, "testdata/request.log")
}

// A refusal at the gate is a decision too.
func TestLogLinesOfARefusal(t *testing.T) {
	p := newRoutingPair(t, event.Info)
	must.Eq(t, result.OK, p.call(t, p.entry, "order-1", nil).Code)
	must.Eq(t, result.IDReused, p.call(t, p.entry, "order-1", []byte("other body")).Code)
	p.isGolden(t, "testdata/refusal.log")
}

// isGolden compares the lines of both daemons, the entry daemon's first.
func (p *routingPair) isGolden(t *testing.T, golden string) {
	t.Helper()
	p.entry.log.Close()
	p.owner.log.Close()
	got := plainLog(p.logs[0].String() + p.logs[1].String())
	if *update {
		must.NoError(t, os.WriteFile(golden, []byte(got), 0o644))
	}
	want, err := os.ReadFile(golden)
	must.NoError(t, err)
	must.Eq(t, string(want), got)
}

// plainLog replaces what differs from run to run.
func plainLog(text string) string {
	text = logTime.ReplaceAllString(text, "ts=TIME")
	text = logService.ReplaceAllString(text, "service_ms=N")
	text = logAddress.ReplaceAllString(text, "address=ADDRESS")
	return strings.TrimSpace(logIncarnation.ReplaceAllString(text, "/INCARNATION")) + "\n"
}
