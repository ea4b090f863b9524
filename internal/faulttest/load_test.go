package faulttest

import (
	"bytes"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/internal/judge"
	"github.com/rhubarbring/rhubarbring/internal/load"
	"github.com/rhubarbring/rhubarbring/internal/objectstore"
	"github.com/rhubarbring/rhubarbring/outcome"
	"github.com/rhubarbring/rhubarbring/status"
)

const (
	requestsPerSecond = 150 // sent by the callers together
	graceMs           = 2000
	maxInFlight       = 1000
)

// traffic is the load of simulated callers and the record of their requests.
type traffic struct {
	f       *fleet
	records lockedBuffer
	done    chan error
}

// load starts callers for the given time, configured like the callers of a
// trial. They use the daemons of the given hosts, or of all hosts.
func (f *fleet) load(length time.Duration, to ...*node) *traffic {
	if len(to) == 0 {
		to = f.hosts
	}
	c := load.Config{
		Seed: 1, RatePerSecond: requestsPerSecond, ForMs: length.Milliseconds(), RepeatUnknown: true, GraceMs: graceMs, MaxInFlight: maxInFlight,
		Apps: []load.App{
			{Name: "availability", Keys: 400, Weight: 4, DeadlineMs: 2000, BodyBytes: 32},
			{Name: "booking", Keys: 400, Weight: 3, NonIdempotent: 0.7, DeadlineMs: 5000, BodyBytes: 64},
			{Name: "payments", Weight: 1, NonIdempotent: 0.8, DeadlineMs: 5000, BodyBytes: 64},
		},
	}
	for _, h := range to {
		c.Daemons = append(c.Daemons, h.settings.CallerAddress)
	}
	tr := &traffic{f: f, done: make(chan error, 1)}
	go func() {
		_, err := load.Run(c, &tr.records)
		tr.done <- err
	}()
	return tr
}

// waitEnded waits until the given number of further requests have ended, with or
// without an answer.
func (tr *traffic) waitEnded(requests int) {
	had := tr.ended()
	tr.f.eventually("requests have ended", func() bool { return tr.ended() >= had+requests })
}

func (tr *traffic) ended() int {
	tr.records.mu.Lock()
	defer tr.records.mu.Unlock()
	return bytes.Count(tr.records.buf.Bytes(), []byte{'\n'})
}

// recordFault records the beginning of a fault for the judge. The returned
// function records its end.
func (f *fleet) recordFault(kind judge.FaultKind, h *node) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := len(f.faults)
	now := int64(bootclock.Now())
	f.faults = append(f.faults, judge.Fault{Kind: kind, Host: h.name(), BeginNs: now, EndNs: now})
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.faults[i].EndNs = int64(bootclock.Now())
	}
}

// collectInput waits until the callers are done and returns what they and the
// targets recorded, the outcomes in the store and the faults.
func (f *fleet) collectInput(all ...*traffic) judge.Input {
	var in judge.Input
	for _, tr := range all {
		must.NoError(f.t, <-tr.done)
		records, err := judge.ReadRecords(tr.records.reader())
		must.NoError(f.t, err)
		in.Records = append(in.Records, records...)
	}
	for _, h := range f.hosts {
		in.Hosts = append(in.Hosts, judge.Host{
			Name: h.name(), Zone: string(h.settings.Zone), App: h.app, Slots: slots, CallerAddress: h.settings.CallerAddress,
		})
		journal, err := judge.ReadJournal(h.target.journal.reader())
		must.NoError(f.t, err)
		in.Journal = append(in.Journal, journal...)
	}
	in.KeptOutcomes = f.storedOutcomeIDs()
	f.mu.Lock()
	defer f.mu.Unlock()
	in.Faults = append(in.Faults, f.faults...)
	return in
}

// storedOutcomeIDs returns the ids of the outcomes that are in the store.
func (f *fleet) storedOutcomeIDs() []string {
	var page objectstore.Page
	f.eventually("the store answers", func() bool {
		var err error
		page, err = f.client.List(outcome.Kind, "", 1000)
		return err == nil
	})
	var ids []string
	for _, item := range page.Items {
		batch, err := outcome.Decode(item.Value)
		must.NoError(f.t, err)
		for _, o := range batch.Outcomes {
			ids = append(ids, o.ID)
		}
	}
	return ids
}

// checkInvariants checks what must hold under every fault.
func (f *fleet) checkInvariants(in judge.Input) judge.Verdict {
	f.t.Helper()
	v := judge.Judge(in)
	must.Positive(f.t, v.Done, must.Sprint("no request was done"))
	must.Zero(f.t, v.TwoOwners, must.Sprint("runs under a second owner"))
	f.checkNone(in, "repeated", v.Repeated)
	f.checkNone(in, "answered \"not run\" although it ran", v.FalseNotRun)
	f.checkNone(in, "cut off at a planned stop", v.CutOff)
	f.checkNone(in, "lost", v.Lost)
	return v
}

// checkNone fails the test for each listed request that the load sent, and
// prints its record and its runs. It skips other requests.
func (f *fleet) checkNone(in judge.Input, what string, ids []string) {
	f.t.Helper()
	for _, r := range in.Records {
		if !slices.Contains(ids, r.ID) {
			continue
		}
		f.t.Errorf("%s: %+v", what, r)
		for _, run := range in.Journal {
			if run.ID == r.ID {
				f.t.Logf("its run: %+v", run)
			}
		}
	}
}

// testRequest is a request that a test sends itself, apart from the load.
type testRequest struct {
	app, key, id string
	attempt      int
	idempotent   bool
	deadline     time.Duration
}

// send sends a request to the host's daemon and returns the outcome in the
// answer, or "" if there is none.
func (h *node) send(a testRequest) string {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + h.settings.CallerAddress + "/app/" + a.app + "/items")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.Set("Rhubarb-Key", a.key)
	req.Header.Set("Rhubarb-Request-Id", a.id)
	req.Header.Set("Rhubarb-Id-Time", strconv.FormatInt(time.Now().UnixMilli(), 10))
	req.Header.Set("Rhubarb-Attempt", strconv.Itoa(a.attempt))
	req.Header.Set("Rhubarb-Deadline", strconv.FormatInt(a.deadline.Milliseconds(), 10))
	req.Header.Set("Rhubarb-Idempotent", strconv.FormatBool(a.idempotent))
	client := &fasthttp.Client{RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }}
	defer client.CloseIdleConnections()
	if client.DoTimeout(req, resp, a.deadline+graceMs*time.Millisecond) != nil {
		return ""
	}
	return string(resp.Header.Peek("Rhubarb-Outcome"))
}

// explain returns the assignment of a key, according to this host.
func (h *node) explain(app, key string) status.Key {
	k, err := h.currentDaemon().ExplainKey(app, key)
	if err != nil {
		return status.Key{}
	}
	return k.(status.Key)
}

// keyOwnedBy returns a key that the host owns.
func (f *fleet) keyOwnedBy(owner *node) string {
	for i := range 10000 {
		key := "k" + strconv.Itoa(i)
		if f.hosts[8].explain(owner.app, key).Owner.Host == owner.settings.Host {
			return key
		}
	}
	f.t.Fatalf("%s owns no key", owner.name())
	return ""
}
