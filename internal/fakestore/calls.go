package fakestore

import (
	"slices"
	"strings"
	"time"
)

// Method is the kind of a call to the store.
type Method string

// Methods that are counted.
const (
	MethodGet    Method = "get"
	MethodPut    Method = "put"
	MethodDelete Method = "delete"
	MethodList   Method = "list"
	MethodWatch  Method = "watch"
)

// Count is the number of calls of one method on one kind of object.
type Count struct {
	Kind   string `json:"kind"`
	Method Method `json:"method"`
	Calls  uint64 `json:"calls"`
}

// Calls is the body of the answer to GET /stand/calls.
type Calls struct {
	// ElapsedMs is the time since the store started.
	ElapsedMs int64 `json:"elapsed_ms"`
	// Counts are the calls by kind and method, sorted by both.
	Counts []Count `json:"counts"`
	// Reads and Writes are the totals; lists and watches count as reads.
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
	// ReadsPerSecond and WritesPerSecond are averages since the start.
	ReadsPerSecond  float64 `json:"reads_per_second"`
	WritesPerSecond float64 `json:"writes_per_second"`
	// PeakReads and PeakWrites are the largest numbers of calls in one second.
	PeakReads  uint64 `json:"peak_reads_per_second"`
	PeakWrites uint64 `json:"peak_writes_per_second"`
}

type callKey struct {
	kind   string
	method Method
}

// counters counts calls. It is not safe for concurrent use.
type counters struct {
	start                 time.Time
	calls                 map[callKey]uint64
	currentSecond         int64
	reads                 uint64 // In the current second.
	writes                uint64 // In the current second.
	peakReads, peakWrites uint64
}

func newCounters(now time.Time) *counters {
	return &counters{start: now, calls: map[callKey]uint64{}}
}

func (c *counters) add(kind string, method Method, now time.Time) {
	c.calls[callKey{kind, method}]++
	if s := int64(now.Sub(c.start) / time.Second); s != c.currentSecond {
		c.currentSecond, c.reads, c.writes = s, 0, 0
	}
	if isWrite(method) {
		c.writes++
		c.peakWrites = max(c.peakWrites, c.writes)
		return
	}
	c.reads++
	c.peakReads = max(c.peakReads, c.reads)
}

func isWrite(m Method) bool {
	return m == MethodPut || m == MethodDelete
}

func (c *counters) report(now time.Time) Calls {
	out := Calls{ElapsedMs: now.Sub(c.start).Milliseconds(), PeakReads: c.peakReads, PeakWrites: c.peakWrites}
	for k, n := range c.calls {
		out.Counts = append(out.Counts, Count{Kind: k.kind, Method: k.method, Calls: n})
		if isWrite(k.method) {
			out.Writes += n
			continue
		}
		out.Reads += n
	}
	slices.SortFunc(out.Counts, func(a, b Count) int {
		return strings.Compare(a.Kind+" "+string(a.Method), b.Kind+" "+string(b.Method))
	})
	if s := now.Sub(c.start).Seconds(); s > 0 {
		out.ReadsPerSecond = float64(out.Reads) / s
		out.WritesPerSecond = float64(out.Writes) / s
	}
	return out
}
