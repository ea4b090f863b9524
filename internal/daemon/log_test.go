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

var updateGolden = flag.Bool("update", false, "rewrite the golden files")

var (
	logTime        = regexp.MustCompile(`\bts=\S+`)
	logService     = regexp.MustCompile(`service_ms=\d+`)
	logAddress     = regexp.MustCompile(`address=\S+`)
	logIncarnation = regexp.MustCompile(`/\d{10,}`)
)

// Each decision about a request must be logged by the daemon that made it.
func TestRequestLogsSendStartAndAnswer(t *testing.T) {
	p := newRoutingPair(t, event.Info)
	a := p.call(t, p.entry, "order-1", []byte("body"))
	must.Eq(t, result.OK, a.Code)
	must.Eq(t, "body", string(a.Body))
	p.checkGolden(t, "testdata/request.log")
}

// A refusal at the gate must be logged like any other decision.
func TestRefusalAtGateIsLogged(t *testing.T) {
	p := newRoutingPair(t, event.Info)
	must.Eq(t, result.OK, p.call(t, p.entry, "order-1", nil).Code)
	must.Eq(t, result.IDReused, p.call(t, p.entry, "order-1", []byte("other body")).Code)
	p.checkGolden(t, "testdata/refusal.log")
}

// Guards against requests or the shutdown blocking on the log: the log is
// written to a pipe that is never read, so the first write blocks.
func TestBlockedLogReaderDelaysNoRequest(t *testing.T) {
	const requests = 3000 // More lines than the ring and the buffer hold.
	_, neverRead := io.Pipe()
	p := (&routingPair{logWriter: neverRead}).start(t, event.Info)
	target := startEchoTarget(t)
	began := time.Now()
	for i := range requests {
		if i%100 == 0 {
			p.announceTarget(target) // On a slow machine the requests take longer than a target may be silent.
		}
		must.Eq(t, result.OK, p.call(t, p.entry, fmt.Sprint("order-", i), nil).Code)
	}
	took := time.Since(began)
	t.Logf("%d requests in %s", requests, took)
	must.Less(t, requests*5*time.Millisecond, took)
	began = time.Now()
	p.entry.log.Close()
	must.Less(t, 2*time.Second, time.Since(began))
}

// checkGolden compares the log lines of both daemons, the entry daemon's first,
// with a golden file.
func (p *routingPair) checkGolden(t *testing.T, golden string) {
	t.Helper()
	p.entry.log.Close()
	p.owner.log.Close()
	got := normalizeLog(p.logs[0].String() + p.logs[1].String())
	if *updateGolden {
		must.NoError(t, os.WriteFile(golden, []byte(got), 0o644))
	}
	want, err := os.ReadFile(golden)
	must.NoError(t, err)
	must.Eq(t, string(want), got)
}

// normalizeLog replaces the values that differ between runs.
func normalizeLog(text string) string {
	text = logTime.ReplaceAllString(text, "ts=TIME")
	text = logService.ReplaceAllString(text, "service_ms=N")
	text = logAddress.ReplaceAllString(text, "address=ADDRESS")
	return strings.TrimSpace(logIncarnation.ReplaceAllString(text, "/INCARNATION")) + "\n"
}
