package storestand

import (
	"slices"
	"strings"
	"time"
)

// Method names the kind of a call.
type Method string

// The methods that are counted.
const (
	MethodGet    Method = "get"
	MethodPut    Method = "put"
	MethodDelete Method = "delete"
	MethodList   Method = "list"
	MethodWatch  Method = "watch"
)

// Count is the number of calls of one method on one kind of objects.
type Count struct {
	Kind   string `json:"kind"`
	Method Method `json:"method"`
	Calls  uint64 `json:"calls"`
}

// Calls is the answer of /stand/calls.
type Calls struct {
	// ElapsedMs is the time since the store started.
	ElapsedMs int64 `json:"elapsed_ms"`
	// Counts are the calls by kind and method, sorted.
	Counts []Count `json:"counts"`
	// Reads and Writes are the sums; lists and watches are reads.
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
	// ReadsPerSecond and WritesPerSecond are means since the start.
	ReadsPerSecond  float64 `json:"reads_per_second"`
	WritesPerSecond float64 `json:"writes_per_second"`
	// PeakWrites and PeakReads are the most calls within one second.
	PeakReads  uint64 `json:"peak_reads_per_second"`
	PeakWrites uint64 `json:"peak_writes_per_second"`
}

type counted struct {
	kind   string
	method Method
}

// counters counts calls. It is not safe for concurrent use.
type counters struct {
	start        time.Time
	calls        map[counted]uint64
	second       int64
	reads        uint64 // In the current second.
	writes       uint64 // In the current second.
	peakR, peakW uint64
}

func newCounters(now time.Time) *counters {
	return &counters{start: now, calls: map[counted]uint64{}}
}

func (c *counters) add(kind string, method Method, now time.Time) {
	c.calls[counted{kind, method}]++
	if s := int64(now.Sub(c.start) / time.Second); s != c.second {
		c.second, c.reads, c.writes = s, 0, 0
	}
	if isWrite(method) {
		c.writes++
		c.peakW = max(c.peakW, c.writes)
		return
	}
	c.reads++
	c.peakR = max(c.peakR, c.reads)
}

func isWrite(m Method) bool {
	return m == MethodPut || m == MethodDelete
}

func (c *counters) report(now time.Time) Calls {
	out := Calls{ElapsedMs: now.Sub(c.start).Milliseconds(), PeakReads: c.peakR, PeakWrites: c.peakW}
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
