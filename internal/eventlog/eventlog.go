// Package eventlog writes numbered log events as logfmt lines. Writing is a
// duty of its own behind a bounded ring, so that a log line for each routing
// decision does not slow the request; lines that find the ring full are
// dropped and counted, and the count is logged.
package eventlog

import (
	"bufio"
	"io"
	"sync"
	"time"

	kitlog "github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"

	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/ring"
	"github.com/rhubarbring/rhubarbring/result"
)

const (
	ringSize = 1 << 12
	// bufferBytes bounds what one write passes on. Readers of pipes take
	// little at a time.
	bufferBytes   = 1 << 12
	flushInterval = 200 * time.Millisecond
	// routineLimit is how many lines may wait before routine ones are dropped,
	// so that room is left for the others.
	routineLimit = ringSize / 2
	// closePatience bounds the wait for a reader that does not read any more.
	closePatience = 500 * time.Millisecond
)

type line struct {
	at     time.Time
	id     event.ID
	fields []any
}

// Log takes events and writes them in the order they came.
type Log struct {
	minimum event.Level
	ring    *ring.Ring[line]
	out     *bufio.Writer
	logger  kitlog.Logger
	host    any // boxed once for all lines
	counts  map[event.ID]metrics.Counter
	fields  []any // of the line being written
	stop    chan struct{}
	done    sync.WaitGroup
}

// countedFrom is the level from which events are counted by name.
const countedFrom = event.Warn

// counters returns a counter, "events.NAME", for each event of level
// countedFrom and above.
func counters(registry metrics.Registry) map[event.ID]metrics.Counter {
	m := make(map[event.ID]metrics.Counter)
	for _, def := range event.All() {
		if def.Level >= countedFrom {
			m[def.ID] = metrics.GetOrRegisterCounter("events."+def.Name, registry)
		}
	}
	return m
}

// wholeLines keeps a line from being split between two writes, as long as it
// fits the buffer.
type wholeLines struct{ out *bufio.Writer }

// Write takes one line.
func (w wholeLines) Write(line []byte) (int, error) {
	if w.out.Available() < len(line) {
		if err := w.out.Flush(); err != nil {
			return 0, err
		}
	}
	return w.out.Write(line)
}

// ParseLevel reads a level's name: debug, info, warn or alarm.
func ParseLevel(name string) (event.Level, error) {
	for _, l := range []event.Level{event.Debug, event.Info, event.Warn, event.Alarm} {
		if l.String() == name {
			return l, nil
		}
	}
	return 0, &result.Error{Code: result.BadSettings, Field: "log.level", Detail: "unknown level " + name, Remedy: "use debug, info, warn or alarm"}
}

// New returns a log that writes events of level minimum and above to w, each
// with the host's name. Close ends it.
func New(w io.Writer, minimum event.Level, id host.ID, registry metrics.Registry) *Log {
	out := bufio.NewWriterSize(w, bufferBytes)
	l := &Log{
		minimum: minimum,
		ring:    ring.New[line]("log", ringSize, registry),
		out:     out,
		logger:  kitlog.NewLogfmtLogger(wholeLines{out}),
		host:    string(id),
		counts:  counters(registry),
		stop:    make(chan struct{}),
	}
	l.done.Add(1)
	go l.run()
	return l
}

// Event logs an event with its fields, names and values in turn. It never
// blocks. Values must not change afterwards.
func (l *Log) Event(id event.ID, fields ...any) {
	if c := l.counts[id]; c != nil {
		c.Inc(1)
	}
	if l.writes(id) {
		l.ring.Push(line{at: time.Now(), id: id, fields: fields})
	}
}

// Routine is Event for lines that are dropped first when they come faster than
// they are read: those of requests that go well.
func (l *Log) Routine(id event.ID, fields ...any) {
	if l.writes(id) {
		l.ring.PushBelow(routineLimit, line{at: time.Now(), id: id, fields: fields})
	}
}

func (l *Log) writes(id event.ID) bool {
	def, ok := event.Lookup(id)
	return ok && def.Level >= l.minimum
}

// Enabled reports whether events of the level are written, so that a hot path
// can spare itself the fields.
func (l *Log) Enabled(level event.Level) bool {
	return level >= l.minimum
}

// Close writes what waits and ends the duty. It does not wait for a reader that
// stopped reading: what waits for it is lost.
func (l *Log) Close() {
	close(l.stop)
	ended := make(chan struct{})
	go func() {
		l.done.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(closePatience):
	}
}

func (l *Log) run() {
	defer l.done.Done()
	flush := time.NewTicker(flushInterval)
	defer flush.Stop()
	var reported int64
	for {
		select {
		case item := <-l.ring.Items():
			l.write(item)
		case <-flush.C:
			reported = l.reportDrops(reported)
			_ = l.out.Flush()
		case <-l.stop:
			l.drain()
			l.reportDrops(reported)
			_ = l.out.Flush()
			return
		}
	}
}

func (l *Log) drain() {
	for l.ring.Len() > 0 {
		l.write(<-l.ring.Items())
	}
}

func (l *Log) reportDrops(reported int64) int64 {
	dropped := l.ring.Refused()
	if dropped > reported {
		l.write(line{at: time.Now(), id: event.LogDropped, fields: []any{"count", dropped - reported}})
	}
	return dropped
}

func (l *Log) write(item line) {
	def, _ := event.Lookup(item.id)
	fields := append(l.fields[:0], "host", l.host, "ts", item.at.UTC().Format(time.RFC3339Nano), "event", uint16(item.id), "name", def.Name, "level", def.Level.String())
	fields = append(fields, item.fields...)
	l.logger.Log(fields...)
	clear(fields)
	l.fields = fields
}
