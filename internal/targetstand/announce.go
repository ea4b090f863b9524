package targetstand

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/rhubarbring/rhubarbring/internal/bootclock"
)

const (
	announcePeriod  = time.Second
	announceTimeout = 500 * time.Millisecond
)

// Announcement is what the target tells the daemon and its health endpoint.
type Announcement struct {
	App          string  `json:"app"`
	Address      string  `json:"address"`
	Slots        int     `json:"slots"`
	Connections  int     `json:"connections"`
	ChecksGrants bool    `json:"checks_grants"`
	State        State   `json:"state"`
	Load         float64 `json:"load"`
}

// Announcement returns what the target says about itself now.
func (t *Target) Announcement() Announcement {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Announcement{
		App:          t.config.App,
		Address:      t.config.Address,
		Slots:        t.config.Slots,
		Connections:  t.config.Connections,
		ChecksGrants: t.config.ChecksGrants,
		State:        t.toldState(),
		Load:         t.toldLoad(),
	}
}

func (t *Target) toldState() State {
	if t.set.FalseState != "" {
		return State(t.set.FalseState)
	}
	if t.draining {
		return StateDraining
	}
	if t.isCold(bootclock.Now()) {
		return StateCold
	}
	return StateWarm
}

func (t *Target) load() float64 {
	return float64(t.running) / float64(t.config.Slots)
}

// toldLoad returns the load as it was LagMs ago, or the false one.
func (t *Target) toldLoad() float64 {
	if t.set.FalseLoad >= 0 {
		return t.set.FalseLoad
	}
	back := int(time.Duration(t.set.LagMs) * time.Millisecond / loadSamplePeriod)
	if back == 0 {
		return t.load()
	}
	if back > len(t.loads) {
		return 0
	}
	return t.loads[len(t.loads)-back]
}

func (t *Target) sampleLoad() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loads = append(t.loads, t.load())
	if extra := len(t.loads) - loadSamples; extra > 0 {
		t.loads = append(t.loads[:0], t.loads[extra:]...)
	}
}

// Announce tells the daemon about the target once a second, until stop is
// closed. A daemon that does not answer is told again a second later.
func (t *Target) Announce(stop <-chan struct{}) {
	tell := time.NewTicker(announcePeriod)
	defer tell.Stop()
	sample := time.NewTicker(loadSamplePeriod)
	defer sample.Stop()
	t.announce()
	for {
		select {
		case <-tell.C:
			t.announce()
		case <-sample.C:
			t.sampleLoad()
		case <-stop:
			return
		}
	}
}

func (t *Target) announce() {
	if t.config.Daemon == "" || t.Behaviour().Silent {
		return
	}
	raw, err := json.Marshal(t.Announcement())
	if err != nil {
		return
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + t.config.Daemon + "/target/announce")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBody(raw)
	_ = fasthttp.DoTimeout(req, resp, announceTimeout)
}
