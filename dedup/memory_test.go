package dedup_test

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/rhubarbring/rhubarbring/dedup"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/request"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

var slices = [...]key.Slice{{App: "pay", ID: 0}, {App: "pay", ID: 1}}

func newRequest(id, body string) *request.Request {
	return &request.Request{ID: id, App: "pay", Method: "POST", Path: "/", Body: []byte(body)}
}

// reference is what a memory without bounds records about an id.
type reference struct {
	state  dedup.State
	seenMs int64
	ref    dedup.EntryRef
	body   string
}

// checkFound compares the result of a lookup with the reference.
func checkFound(t must.T, m *dedup.Memory, s key.Slice, r *request.Request, want *reference, found dedup.Found) {
	if want == nil {
		must.Eq(t, dedup.Unseen, found.State)
		return
	}
	if found.State != dedup.Unseen {
		must.Eq(t, want.state, found.State)
		must.Eq(t, want.body == string(r.Body), found.SameContent)
		if found.Answer != nil {
			must.Eq(t, "did "+r.ID, string(found.Answer.Body))
		}
		return
	}
	if want.state != dedup.Unseen {
		must.Greater(t, want.seenMs, m.HorizonMs(s))
		must.NotEq(t, dedup.InFlight, want.state)
	}
}

// Compares a bounded memory with a map that drops nothing. What the memory
// finds has to agree with the map; an id that ran and is not found has to be
// covered by its slice's horizon, and no id in flight may be missing. Without
// this a repeat of a dropped id would count as new and run twice.
func TestDroppedIDsAreCoveredByHorizon(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := dedup.Config{MaxIDs: 5, MaxAge: 10 * time.Second, MaxAnswerBytes: 900, Skew: time.Second}
		m := dedup.New(cfg)
		now := int64(1_700_000_000_000)
		all := map[string]*reference{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += int64(rapid.IntRange(0, 3000).Draw(t, "ms"))
			s := slices[rapid.IntRange(0, 1).Draw(t, "slice")]
			id := fmt.Sprint("id", rapid.IntRange(0, 15).Draw(t, "id"))
			r := newRequest(id, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "body"))
			name := s.String() + id
			want := all[name]
			found := m.Find(s, r)
			checkFound(t, m, s, r, want, found)
			switch rapid.IntRange(0, 3).Draw(t, "do") {
			case 0:
				if found.State != dedup.Unseen {
					break
				}
				if ref, room := m.Begin(s, r, now); room {
					all[name] = &reference{state: dedup.InFlight, seenMs: now, ref: ref, body: string(r.Body)}
				}
			case 1:
				if want != nil && want.state == dedup.InFlight {
					m.Finish(want.ref, &request.Answer{Body: []byte("did " + id)})
					want.state = dedup.Finished
				}
			case 2:
				if want != nil && want.state == dedup.InFlight {
					m.Forget(want.ref)
					want.state = dedup.Unseen
				}
			case 3:
				m.Expire(now)
			}
			must.LessEq(t, cfg.MaxIDs, m.Len())
		}
	})
}

func TestKeptAnswersAreBounded(t *testing.T) {
	cfg := dedup.Config{MaxIDs: 100, MaxAge: time.Hour, MaxAnswerBytes: 3000}
	m := dedup.New(cfg)
	for i := range 10 {
		ref, room := m.Begin(slices[0], newRequest(fmt.Sprint(i), ""), 1000)
		must.True(t, room)
		m.Finish(ref, &request.Answer{Body: make([]byte, 800)})
	}
	must.Nil(t, m.Find(slices[0], newRequest("0", "")).Answer)
	must.Eq(t, dedup.Finished, m.Find(slices[0], newRequest("0", "")).State)
	must.NotNil(t, m.Find(slices[0], newRequest("9", "")).Answer)
}

func BenchmarkBeginFinish(b *testing.B) {
	m := dedup.New(dedup.DefaultConfig())
	requests := make([]*request.Request, 1<<17)
	for i := range requests {
		requests[i] = newRequest(fmt.Sprintf("018c2f5e-7c1a-7000-8000-%012d", i), "")
	}
	a := &request.Answer{Body: []byte("ok")}
	b.ReportAllocs()
	for i := range b.N {
		r := requests[i%len(requests)]
		if m.Find(slices[0], r).State == dedup.Unseen {
			ref, _ := m.Begin(slices[0], r, int64(i))
			m.Finish(ref, a)
		}
	}
}

// BenchmarkBytesPerID reports the heap bytes per remembered id, without its
// answer.
func BenchmarkBytesPerID(b *testing.B) {
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		cfg := dedup.DefaultConfig()
		m := dedup.New(cfg)
		for i := range cfg.MaxIDs {
			ref, _ := m.Begin(slices[0], newRequest(fmt.Sprintf("018c2f5e-7c1a-7000-8000-%012d", i), ""), 1)
			m.Finish(ref, nil)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(m.Len()), "B/id")
	}
}
