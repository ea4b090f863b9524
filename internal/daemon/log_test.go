package daemon

import (
	"flag"
	"fmt"
	"io"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

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

// A reader of the log that stops reading slows no request and holds up no end:
// the logs go to a pipe that is full from the start.
func TestAFullPipeSlowsNoRequest(t *testing.T) {
	const asked = 3000 // More lines than ring and buffer hold.
	_, full := io.Pipe()
	p := (&routingPair{to: full}).begin(t, event.Info)
	began := time.Now()
	for i := range asked {
		must.Eq(t, result.OK, p.call(t, p.entry, fmt.Sprint("order-", i), nil).Code)
	}
	took := time.Since(began)
	t.Logf("%d requests in %s", asked, took)
	must.Less(t, asked*5*time.Millisecond, took)
	began = time.Now()
	p.entry.log.Close()
	must.Less(t, 2*time.Second, time.Since(began))
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
