package load

import (
	"io"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/result"
)

const (
	histogramMaxUs   = int64(10 * time.Minute / time.Microsecond)
	histogramDigits  = 3
	idTimeBase       = 10
	microsPerMilli   = 1000
	percentileMedian = 50
	percentile99     = 99
)

// Summary holds the totals of a run.
type Summary struct {
	Requests uint64 `json:"requests"`
	// NotSent counts arrivals that were dropped because MaxInFlight requests
	// were in flight.
	NotSent uint64 `json:"not_sent"`
	// Done, NotRun, Unknown and Late count requests by their last outcome;
	// NoAnswer counts the requests without any outcome.
	Done     uint64 `json:"done"`
	NotRun   uint64 `json:"not_run"`
	Unknown  uint64 `json:"unknown"`
	Late     uint64 `json:"late"`
	NoAnswer uint64 `json:"no_answer"`
	// Foreign counts "done" answers that were incomplete or belonged to another
	// request.
	Foreign uint64 `json:"foreign"`
	// P50Ms, P99Ms and MaxMs are latencies of the requests whose last answer was
	// "done", also if it was foreign, from the planned arrival to that answer.
	P50Ms float64 `json:"p50_ms"`
	P99Ms float64 `json:"p99_ms"`
	MaxMs float64 `json:"max_ms"`
}

// run collects the results of the callers of one run.
type run struct {
	mu      sync.Mutex
	summary Summary
	latency *hdrhistogram.Histogram
	records *recorder
}

// idPrefix returns the prefix of the ids of a run that starts now: the
// milliseconds since 1970, which make it unique and give the ids' time.
func idPrefix(now time.Time) string {
	return strconv.FormatInt(now.UnixMilli(), idTimeBase)
}

// idTime returns the time in milliseconds since 1970 with which an id begins.
func idTime(id string) string {
	ms, _, _ := strings.Cut(id, "-")
	return ms
}

// Run sends the planned requests and writes a record of each. It returns when
// all callers have finished, at most the longest deadline plus the grace after
// the last arrival, together with the first error in writing the records.
func Run(c Config, records io.Writer) (Summary, error) {
	state := &run{
		latency: hdrhistogram.New(1, histogramMaxUs, histogramDigits),
		records: newRecorder(records),
	}
	plan := Plan(c, idPrefix(time.Now()))
	daemons := newDaemonList(c.Daemons)
	sender := newClient(time.Duration(c.GraceMs) * time.Millisecond)
	inFlight := make(chan struct{}, c.MaxInFlight)
	start := bootclock.Now()
	var wait sync.WaitGroup
	for i, r := range plan {
		arrival := start.Add(r.At)
		time.Sleep(arrival.Sub(bootclock.Now()))
		select {
		case inFlight <- struct{}{}:
		default:
			state.notSent()
			continue
		}
		wait.Go(func() {
			defer func() { <-inFlight }()
			state.record(newCaller(c, daemons, sender, uint64(i)).call(r, arrival))
		})
	}
	wait.Wait()
	return state.finish()
}

func (s *run) notSent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.summary.NotSent++
}

func (s *run) record(rec Record) {
	s.records.write(rec)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.summary.Requests++
	w, answered := rec.LastAnswered()
	if !answered {
		s.summary.NoAnswer++
		return
	}
	switch w.Outcome {
	case result.Done.String():
		s.summary.Done++
		s.recordDone(rec, w)
	case result.NotRun.String():
		s.summary.NotRun++
	case result.Late.String():
		s.summary.Late++
	default:
		s.summary.Unknown++
	}
}

func (s *run) recordDone(rec Record, w Sending) {
	if !w.BelongsToRequest {
		s.summary.Foreign++
	}
	us := mono.Time(w.AnsweredNs).Sub(mono.Time(rec.ArrivalNs)).Microseconds()
	_ = s.latency.RecordValue(min(max(1, us), histogramMaxUs))
}

func (s *run) finish() (Summary, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.summary.P50Ms = float64(s.latency.ValueAtPercentile(percentileMedian)) / microsPerMilli
	s.summary.P99Ms = float64(s.latency.ValueAtPercentile(percentile99)) / microsPerMilli
	s.summary.MaxMs = float64(s.latency.Max()) / microsPerMilli
	return s.summary, s.records.err
}
