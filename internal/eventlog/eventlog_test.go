package eventlog_test

import (
	"bytes"
	"io"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/internal/eventlog"
)

// blockedWriter blocks every write until open is closed.
type blockedWriter struct {
	open  chan struct{}
	mu    sync.Mutex
	lines bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.open
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lines.Write(b)
}

var dropCount = regexp.MustCompile(`name=log_dropped level=\w+ count=(\d+)`)

// A log file on a stalled disk must not block the code that logs. Lines are
// lost in that case, and the logged counts add up to the lines lost.
func TestFullRingDropsLinesAndLogsTheirCount(t *testing.T) {
	const written = 200_000 // More than the ring and the buffer hold.
	registry := metrics.NewRegistry()
	w := &blockedWriter{open: make(chan struct{})}
	log := eventlog.New(w, event.Info, "h1", registry)
	for range written {
		log.Event(event.RequestStarted, "id", "a")
	}
	dropped := metrics.GetOrRegisterCounter("ring.log.refused", registry).Count()
	close(w.open)
	log.Close()
	must.Positive(t, dropped)
	text := w.lines.String()
	must.Eq(t, written-int(dropped), strings.Count(text, "name=request_started"))
	logged := int64(0)
	for _, count := range dropCount.FindAllStringSubmatch(text, -1) {
		n, err := strconv.ParseInt(count[1], 10, 64)
		must.NoError(t, err)
		logged += n
	}
	must.Eq(t, dropped, logged)
}

// Routine lines fill the ring only up to their limit, so that other lines still
// find room. A stalled writer blocks neither logging nor Close.
func TestRoutineLinesAreDroppedBeforeOthers(t *testing.T) {
	registry := metrics.NewRegistry()
	w := &blockedWriter{open: make(chan struct{})}
	log := eventlog.New(w, event.Info, "h1", registry)
	for range 100_000 {
		log.Routine(event.RequestStarted, "id", "a")
	}
	dropped := metrics.GetOrRegisterCounter("ring.log.refused", registry).Count()
	must.Positive(t, dropped)
	for range 1000 {
		log.Event(event.RequestRefused, "id", "b")
	}
	must.Eq(t, dropped, metrics.GetOrRegisterCounter("ring.log.refused", registry).Count())
	began := time.Now()
	log.Close()
	must.Less(t, 2*time.Second, time.Since(began))
	close(w.open)
}

// Events of level warn and above are counted by name even if their lines are
// not written.
func TestWarningsAreCountedBelowMinimumLevel(t *testing.T) {
	registry := metrics.NewRegistry()
	log := eventlog.New(&bytes.Buffer{}, event.Alarm, "h1", registry)
	log.Event(event.BadObject, "object", "announcement/i-1")
	log.Event(event.BadObject, "object", "announcement/i-1")
	log.Close()
	must.Eq(t, 2, metrics.GetOrRegisterCounter("events.bad_object", registry).Count())
}

func TestEventsBelowMinimumLevelAreNotWritten(t *testing.T) {
	w := &bytes.Buffer{}
	log := eventlog.New(w, event.Warn, "h1", metrics.NewRegistry())
	must.False(t, log.Enabled(event.Info))
	log.Event(event.RequestStarted, "id", "a")
	log.Event(event.BadFrame, "peer", "p", "cause", "c d")
	log.Close()
	must.StrNotContains(t, w.String(), "request_started")
	must.StrHasSuffix(t, "name=bad_frame level=warn peer=p cause=\"c d\"\n", w.String())
}

func BenchmarkEvent(b *testing.B) {
	log := eventlog.New(io.Discard, event.Info, "h1", metrics.NewRegistry())
	defer log.Close()
	b.ReportAllocs()
	for i := uint64(0); b.Loop(); i++ {
		log.Event(event.RequestStarted, "id", "order-1", "app", "catalogue", "slice", uint32(7), "epoch", i, "run", i, "key", "k")
	}
}
