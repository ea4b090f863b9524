package daemon

import (
	"github.com/rcrowley/go-metrics"

	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/result"
)

// routingStats are the metrics of the routing duty. docs/OPERATIONS.md lists
// them.
type routingStats struct {
	registry metrics.Registry
	// service is the time of runs at the target, queue that of the wait for a
	// slot there, entry the time from a request's arrival here to its answer,
	// all in microseconds.
	service metrics.Histogram
	queue   metrics.Histogram
	entry   metrics.Histogram
	// answered and refused count answers to callers and refusals of the gate,
	// by result code.
	answered map[result.Code]metrics.Counter
	refused  map[result.Code]metrics.Counter
	retried  metrics.Gauge
	repeats  metrics.Gauge
	owned    metrics.Gauge
	units    metrics.Gauge
	lease    metrics.Gauge
	document metrics.Gauge
	busy     metrics.Gauge
	queued   metrics.Gauge
}

// latencySample is the number of times that a histogram keeps.
const latencySample = 1024

func newRoutingStats(registry metrics.Registry) routingStats {
	s := routingStats{
		registry: registry,
		service:  metrics.NewHistogram(metrics.NewUniformSample(latencySample)),
		queue:    metrics.NewHistogram(metrics.NewUniformSample(latencySample)),
		entry:    metrics.NewHistogram(metrics.NewUniformSample(latencySample)),
		answered: make(map[result.Code]metrics.Counter),
		refused:  make(map[result.Code]metrics.Counter),
		retried:  metrics.GetOrRegisterGauge("requests.retried", registry),
		repeats:  metrics.GetOrRegisterGauge("requests.repeats_left", registry),
		owned:    metrics.GetOrRegisterGauge("slices.owned", registry),
		units:    metrics.GetOrRegisterGauge("grants.units", registry),
		lease:    metrics.GetOrRegisterGauge("lease.left_ms", registry),
		document: metrics.GetOrRegisterGauge("document.version", registry),
		busy:     metrics.GetOrRegisterGauge("target.busy", registry),
		queued:   metrics.GetOrRegisterGauge("target.queued", registry),
	}
	_ = registry.Register("routing.service_us", s.service) // Fails only for a name in use.
	_ = registry.Register("routing.queue_us", s.queue)
	_ = registry.Register("routing.entry_us", s.entry)
	return s
}

// count counts a result under the given prefix.
func (s *routingStats) count(counters map[result.Code]metrics.Counter, prefix string, code result.Code) {
	c, ok := counters[code]
	if !ok {
		c = metrics.GetOrRegisterCounter(prefix+"."+code.String(), s.registry)
		counters[code] = c
	}
	c.Inc(1)
}

func (s *routingStats) noteAnswer(code result.Code, took mono.Time) {
	s.count(s.answered, "requests.answered", code)
	s.entry.Update(int64(took) / int64(1000))
}

func (s *routingStats) noteRefusal(code result.Code) {
	s.count(s.refused, "gate.refused", code)
}

// gauge shows what the duty holds now.
func (r *routingDuty) gauge(now mono.Time) {
	s := &r.stats
	s.retried.Update(int64(r.router.Counters().Retried))
	s.repeats.Update(int64(r.router.RepeatsLeft()))
	s.owned.Update(int64(r.holder.Counts().Owned))
	s.lease.Update(r.lease().Sub(now).Milliseconds())
	if d := r.fleet.document.Load(); d != nil {
		s.document.Update(int64(d.stored.Version))
	}
	if r.core != nil {
		s.units.Update(int64(r.core.Units()))
	}
	if r.gate != nil {
		load := r.gate.Load(now)
		s.busy.Update(int64(load.Busy))
		s.queued.Update(int64(load.Queued))
	}
}
