package faketarget_test

import (
	"bytes"
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/internal/faketarget"
)

// endlessServiceMs is a mean service time, in milliseconds, far longer than any
// test.
const endlessServiceMs = 1e9

type fixture struct {
	t       *testing.T
	target  *faketarget.Target
	journal *bytes.Buffer
	base    string
	http    *fasthttp.Client
}

func start(t *testing.T, change func(*faketarget.Config)) *fixture {
	var journal bytes.Buffer
	c := faketarget.Config{
		Name: "t1", App: "catalogue", Slots: 1, Connections: 16, ChecksGrants: true, Seed: 1,
		Journal: &journal, Behaviour: faketarget.DefaultBehaviour(),
	}
	c.MeanServiceMs = 0
	if change != nil {
		change(&c)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	target := faketarget.New(c)
	server := faketarget.NewServer(target)
	done := make(chan error, 1)
	go func() { done <- target.Serve(server, ln) }()
	f := &fixture{t: t, target: target, journal: &journal, base: "http://" + ln.Addr().String(), http: &fasthttp.Client{}}
	t.Cleanup(func() {
		must.NoError(t, ln.Close())
		must.NoError(t, <-done)
	})
	return f
}

type reply struct {
	status  int
	refused string
	body    []byte
	err     error
}

// send posts a request with headers "Name: value", without the prefix
// Rhubarb-. A grant expiry and a deadline an hour ahead are added unless the
// headers give others.
func (f *fixture) send(path, body string, headers ...string) reply {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(f.base + path)
	req.Header.SetMethod("POST")
	far := strconv.FormatInt(int64(bootclock.Now().Add(time.Hour)), 10)
	req.Header.Set("Rhubarb-Grant-Expires", far)
	req.Header.Set("Rhubarb-Deadline", far)
	for _, h := range headers {
		name, value, _ := strings.Cut(h, ": ")
		req.Header.Set("Rhubarb-"+name, value)
	}
	req.SetBodyString(body)
	err := f.http.Do(req, resp)
	return reply{resp.StatusCode(), string(resp.Header.Peek("Rhubarb-Refused")), bytes.Clone(resp.Body()), err}
}

func (f *fixture) run(id, epoch, owner string) reply {
	return f.send("/x", "body", "Request-Id: "+id, "Attempt: 1", "Key: k", "Slice: catalogue/3", "Owner: "+owner, "Epoch: "+epoch)
}

func (f *fixture) ran() []faketarget.Record {
	var page struct{ Records []faketarget.Record }
	must.NoError(f.t, json.Unmarshal(f.send("/stand/ran", "").body, &page))
	return page.Records
}

func TestRunIsJournalledAndAnswered(t *testing.T) {
	f := start(t, nil)
	r := f.run("id1", "4", "h1/7")
	must.Eq(t, 200, r.status)
	must.True(t, faketarget.IsAnswerTo(r.body, "id1", "k", []byte("body")))
	must.False(t, faketarget.IsAnswerTo(r.body, "id2", "k", []byte("body")))
	must.False(t, faketarget.IsAnswerTo(r.body, "id1", "k", []byte("other")))
	must.False(t, faketarget.IsAnswerTo(r.body[:len(r.body)-1], "id1", "k", []byte("body")))
	records := f.ran()
	must.Len(t, 2, records)
	must.Eq(t, faketarget.PhaseStart, records[0].Phase)
	must.Eq(t, faketarget.PhaseEnd, records[1].Phase)
	must.Eq(t, "h1/7", records[1].Owner)
	must.Eq(t, 4, records[1].Epoch)
	must.Eq(t, "catalogue/3", records[1].Slice)
	must.LessEq(t, records[1].EndNs, records[1].StartNs)
	must.Eq(t, 2, strings.Count(f.journal.String(), "\n"))
}

func TestExpiredOrSupersededGrantIsRefused(t *testing.T) {
	f := start(t, nil)
	must.Eq(t, 200, f.run("a", "4", "h1/7").status)
	must.Eq(t, "fence", f.run("b", "3", "h1/7").refused)
	must.Eq(t, "fence", f.run("c", "4", "h2/1").refused)
	must.Eq(t, 200, f.run("d", "4", "h1/7").status)
	must.Eq(t, 200, f.run("e", "5", "h2/1").status)
	past := strconv.FormatInt(int64(bootclock.Now()), 10)
	must.Eq(t, "fence", f.send("/x", "", "Request-Id: f", "Slice: catalogue/9", "Epoch: 9", "Grant-Expires: "+past).refused)
	must.Eq(t, "deadline", f.send("/x", "", "Request-Id: g", "Slice: catalogue/9", "Epoch: 9", "Deadline: "+past).refused)
	must.Len(t, 6, f.ran())
}

func TestUncheckedGrantIsAccepted(t *testing.T) {
	f := start(t, func(c *faketarget.Config) { c.ChecksGrants = false })
	must.Eq(t, 200, f.run("a", "4", "h1/7").status)
	must.Eq(t, 200, f.run("b", "3", "h2/7").status)
}

// occupy starts a request that holds the only slot until it is cancelled.
func (f *fixture) occupy() <-chan reply {
	b := f.target.Behaviour()
	b.MeanServiceMs = endlessServiceMs
	f.target.SetBehaviour(b)
	got := make(chan reply, 1)
	go func() { got <- f.run("first", "4", "h1/7") }()
	for len(f.ran()) == 0 {
		time.Sleep(time.Millisecond)
	}
	b.MeanServiceMs = 0
	f.target.SetBehaviour(b)
	return got
}

func (f *fixture) cancel(id string) string {
	return string(f.send("/target/cancel", `{"id":"`+id+`","attempt":1}`).body)
}

func TestFullTargetShedsUntilCancelFreesSlot(t *testing.T) {
	f := start(t, nil)
	got := f.occupy()
	must.Eq(t, "shed", f.run("second", "4", "h1/7").refused)
	must.Eq(t, `{"stopped":true}`, f.cancel("first"))
	must.Eq(t, "cancelled", (<-got).refused)
	records := f.ran()
	must.Len(t, 2, records)
	must.True(t, records[1].Stopped)
	must.Eq(t, 200, f.run("third", "4", "h1/7").status)
	must.Eq(t, `{"stopped":false}`, f.cancel("third"))
}

func TestQueuedRequestChecksItsGrantWhenItStarts(t *testing.T) {
	f := start(t, func(c *faketarget.Config) { c.Queue = 1 })
	first := f.occupy()
	queued := make(chan reply, 1)
	go func() { queued <- f.run("queued", "3", "h0/1") }()
	for f.target.Busy() < 2 {
		time.Sleep(time.Millisecond)
	}
	must.Eq(t, "shed", f.run("third", "4", "h1/7").refused)
	f.cancel("first")
	<-first
	must.Eq(t, "fence", (<-queued).refused)
}

func TestCancelBeforeItsRequestPreventsTheRun(t *testing.T) {
	f := start(t, nil)
	must.Eq(t, `{"stopped":true}`, f.cancel("early"))
	must.Eq(t, "cancelled", f.run("early", "4", "h1/7").refused)
	must.Len(t, 0, f.ran())
}

func TestDrainRefusesNewRequestsAndKeepsRunning(t *testing.T) {
	f := start(t, nil)
	first := f.occupy()
	must.StrContains(t, string(f.send("/target/drain", "").body), `"state":"draining"`)
	must.Eq(t, "draining", f.run("second", "4", "h1/7").refused)
	must.Eq(t, 1, f.target.Busy())
	f.cancel("first")
	<-first
}

func TestHealthReportsFalseLoadAndState(t *testing.T) {
	f := start(t, nil)
	must.StrContains(t, string(f.send("/target/health", "").body), `"checks_grants":true,"state":"warm","load":0}`)
	f.send("/stand/set", `{"false_load":0.5,"false_state":"cold"}`)
	must.StrContains(t, string(f.send("/target/health", "").body), `"state":"cold","load":0.5}`)
	must.Eq(t, 400, f.send("/stand/set", `{"shed":"x"}`).status)
	f.send("/stand/set", `{"shed":1}`)
	must.Eq(t, "shed", f.run("a", "4", "h1/7").refused)
}

func TestConnectionAboveLimitIsClosed(t *testing.T) {
	f := start(t, func(c *faketarget.Config) { c.Connections = 1 })
	must.Eq(t, 200, f.run("a", "4", "h1/7").status)
	other, err := net.Dial("tcp", strings.TrimPrefix(f.base, "http://"))
	must.NoError(t, err)
	_, err = other.Read(make([]byte, 1))
	must.Error(t, err)
	must.Eq(t, 200, f.run("b", "4", "h1/7").status)
}

func TestTargetAnnouncesItselfToItsDaemon(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	got := make(chan string, 1)
	daemon := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		select {
		case got <- string(ctx.Path()) + " " + string(ctx.PostBody()):
		default:
		}
	}}
	done := make(chan error, 1)
	go func() { done <- daemon.Serve(ln) }()
	target := faketarget.New(faketarget.Config{
		App: "payments", Address: "127.0.0.1:9000", Daemon: ln.Addr().String(),
		Slots: 6, Connections: 60, Behaviour: faketarget.DefaultBehaviour(),
	})
	stop := make(chan struct{})
	go target.Announce(stop)
	must.Eq(t, `/target/announce {"app":"payments","address":"127.0.0.1:9000","slots":6,"connections":60,"checks_grants":false,"state":"warm","load":0}`, <-got)
	close(stop)
	must.NoError(t, daemon.Shutdown())
	must.NoError(t, <-done)
}
