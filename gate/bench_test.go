package gate

import (
	"strconv"
	"testing"
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// ownsAll owns every slice at epoch 1.
type ownsAll struct{}

func (ownsAll) Admit(_ key.App, _ string, _ key.SliceID, now mono.Time) Admission {
	return Admission{Code: result.OK, Epoch: 1, Newest: 1, Expires: now.Add(time.Second)}
}

// benchmarkRequestToAnswer measures the gate's part of a request: its arrival,
// the target's answer, the answer to the entry daemon and its acknowledgement.
func benchmarkRequestToAnswer(b *testing.B, idempotent bool) {
	cfg := DefaultConfig()
	cfg.App = "pay"
	cfg.Ownership = ownsAll{}
	g := New(cfg)
	var out Actions
	g.TargetAnnounced(-mono.Time(time.Minute), Announcement{Slots: 12, Connections: 130, State: Warm}, &out)
	from := host.Session{Host: "entry", Incarnation: 1}
	ids := make([]string, 1<<17)
	for i := range ids {
		ids[i] = "018c2f5e-7c1a-7000-8000-" + strconv.Itoa(i)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now := mono.Time(i) * 40_000
		nowMs := wallStartMs + int64(i)*10
		r := &request.Request{ID: ids[i%len(ids)], App: "pay", Epoch: 1, Attempt: 1, Seq: uint64(i + 1), Idempotent: idempotent, Repeat: request.RepeatFirst, Budget: time.Second, AcceptedMs: nowMs}
		out.Reset()
		g.RequestReceived(now, nowMs, from, r, &out)
		g.TargetAnswered(now, out.Starts[0].Run, TargetAnswer{Status: 200}, &out)
		g.AckReceived(from, request.Ack{Seqs: []uint64{r.Seq}})
		g.Tick(now, nowMs, &out)
	}
}

func BenchmarkRequestToAnswerIdempotent(b *testing.B) { benchmarkRequestToAnswer(b, true) }

func BenchmarkRequestToAnswerNonIdempotent(b *testing.B) { benchmarkRequestToAnswer(b, false) }
