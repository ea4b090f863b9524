package faketarget

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

// Announcement is what the target reports to the daemon and on
// /target/health.
type Announcement struct {
	App          string  `json:"app"`
	Address      string  `json:"address"`
	Slots        int     `json:"slots"`
	Connections  int     `json:"connections"`
	ChecksGrants bool    `json:"checks_grants"`
	State        State   `json:"state"`
	Load         float64 `json:"load"`
	Instance     uint64  `json:"instance,omitempty"`
}

// Announcement returns the target's current report, with the false state and
// load if they are configured.
func (t *Target) Announcement() Announcement {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Announcement{
		App:          t.config.App,
		Address:      t.config.Address,
		Slots:        t.config.Slots,
		Connections:  t.config.Connections,
		ChecksGrants: t.config.ChecksGrants,
		State:        t.reportedState(),
		Load:         t.reportedLoad(),
		Instance:     t.config.Instance,
	}
}

func (t *Target) reportedState() State {
	if t.behaviour.FalseState != "" {
		return State(t.behaviour.FalseState)
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

// reportedLoad returns FalseLoad unless it is negative, or else the load as it
// was LagMs ago. It is 0 if no sample is that old.
func (t *Target) reportedLoad() float64 {
	if t.behaviour.FalseLoad >= 0 {
		return t.behaviour.FalseLoad
	}
	back := int(time.Duration(t.behaviour.LagMs) * time.Millisecond / loadSamplePeriod)
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

// Announce announces the target to its daemon once a second until stop is
// closed. It ignores failures, as the next announcement follows a second later.
// It also samples the load every loadSamplePeriod, which LagMs needs.
func (t *Target) Announce(stop <-chan struct{}) {
	announceTicker := time.NewTicker(announcePeriod)
	defer announceTicker.Stop()
	sampleTicker := time.NewTicker(loadSamplePeriod)
	defer sampleTicker.Stop()
	t.postAnnouncement()
	for {
		select {
		case <-announceTicker.C:
			t.postAnnouncement()
		case <-sampleTicker.C:
			t.sampleLoad()
		case <-stop:
			return
		}
	}
}

func (t *Target) postAnnouncement() {
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
