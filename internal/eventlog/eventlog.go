// Package eventlog writes numbered log events as logfmt lines. A goroutine of
// its own writes them from a bounded ring, so that a log line for each routing
// decision does not slow the request. Lines that arrive while the ring is full
// are dropped and counted, and the count is logged.
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
	// bufferBytes bounds the size of one write, because the reader of a pipe
	// takes only a little at a time.
	bufferBytes   = 1 << 12
	flushInterval = 200 * time.Millisecond
	// routineLimit is the number of queued lines from which routine ones are
	// dropped, so that room is left for the others.
	routineLimit = ringSize / 2
	// closeTimeout bounds the wait of Close for a reader that has stopped
	// reading.
	closeTimeout = 500 * time.Millisecond
)

type line struct {
	at     time.Time
	id     event.ID
	fields []any
}

// Log queues events and writes them in the order in which they were logged. Its
// methods, except Close, are safe for concurrent use.
type Log struct {
	minimum  event.Level
	ring     *ring.Ring[line]
	out      *bufio.Writer
	logger   kitlog.Logger
	host     any // converted to an interface once, for all lines
	counters map[event.ID]metrics.Counter
	fields   []any // fields of the line being written, reused
	stop     chan struct{}
	done     sync.WaitGroup
}

// minCountedLevel is the lowest level whose events are counted by name.
const minCountedLevel = event.Warn

// newCounters registers a counter "events.NAME" for each event of level
// minCountedLevel and above.
func newCounters(registry metrics.Registry) map[event.ID]metrics.Counter {
	m := make(map[event.ID]metrics.Counter)
	for _, def := range event.All() {
		if def.Level >= minCountedLevel {
			m[def.ID] = metrics.GetOrRegisterCounter("events."+def.Name, registry)
		}
	}
	return m
}

// lineWriter flushes the buffer before a line that does not fit into its
// remaining space, so that no line is split between two writes unless it is
// larger than the buffer.
type lineWriter struct{ out *bufio.Writer }

// Write buffers one line.
func (w lineWriter) Write(line []byte) (int, error) {
	if w.out.Available() < len(line) {
		if err := w.out.Flush(); err != nil {
			return 0, err
		}
	}
	return w.out.Write(line)
}

// ParseLevel returns the level with the given name: debug, info, warn or alarm.
// For another name it fails with BadSettings.
func ParseLevel(name string) (event.Level, error) {
	for _, l := range []event.Level{event.Debug, event.Info, event.Warn, event.Alarm} {
		if l.String() == name {
			return l, nil
		}
	}
	return 0, &result.Error{Code: result.BadSettings, Field: "log.level", Detail: "unknown level " + name, Remedy: "use debug, info, warn or alarm"}
}

// New returns a log that writes events of level minimum and above to w, each
// with the host's name. It starts a goroutine that Close ends.
func New(w io.Writer, minimum event.Level, id host.ID, registry metrics.Registry) *Log {
	out := bufio.NewWriterSize(w, bufferBytes)
	l := &Log{
		minimum:  minimum,
		ring:     ring.New[line]("log", ringSize, registry),
		out:      out,
		logger:   kitlog.NewLogfmtLogger(lineWriter{out}),
		host:     string(id),
		counters: newCounters(registry),
		stop:     make(chan struct{}),
	}
	l.done.Add(1)
	go l.run()
	return l
}

// Event logs an event. The fields are alternating names and values. Event never
// blocks; the values are formatted later, so they must not change afterwards.
func (l *Log) Event(id event.ID, fields ...any) {
	if c := l.counters[id]; c != nil {
		c.Inc(1)
	}
	if l.isWritten(id) {
		l.ring.Push(line{at: time.Now(), id: id, fields: fields})
	}
}

// Routine is like Event, for the lines of successful requests. They are dropped
// before others when lines arrive faster than they are written, and they are
// not counted by name.
func (l *Log) Routine(id event.ID, fields ...any) {
	if l.isWritten(id) {
		l.ring.PushIfBelow(routineLimit, line{at: time.Now(), id: id, fields: fields})
	}
}

func (l *Log) isWritten(id event.ID) bool {
	def, ok := event.Lookup(id)
	return ok && def.Level >= l.minimum
}

// Enabled reports whether events of the level are written, so that a hot path
// need not build fields that no line uses.
func (l *Log) Enabled(level event.Level) bool {
	return level >= l.minimum
}

// Close writes the queued lines and ends the writing goroutine. If the reader of
// the log has stopped reading, Close returns after closeTimeout and the rest is
// lost.
func (l *Log) Close() {
	close(l.stop)
	ended := make(chan struct{})
	go func() {
		l.done.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(closeTimeout):
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
			reported = l.logDropped(reported)
			_ = l.out.Flush()
		case <-l.stop:
			l.writeQueued()
			l.logDropped(reported)
			_ = l.out.Flush()
			return
		}
	}
}

func (l *Log) writeQueued() {
	for l.ring.Len() > 0 {
		l.write(<-l.ring.Items())
	}
}

// logDropped logs how many lines were dropped beyond the reported ones, and
// returns the total.
func (l *Log) logDropped(reported int64) int64 {
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
