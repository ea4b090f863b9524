package daemon

import (
	"math"

	"github.com/rcrowley/go-metrics"

	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/result"
)

// routingMetrics are the metrics of the routing loop. docs/OPERATIONS.md lists
// them.
type routingMetrics struct {
	registry metrics.Registry
	// service is the time of runs at the target, queue the time of waiting for
	// a slot there, and entry the time from the arrival of a request at this
	// daemon to its answer, all in microseconds.
	service metrics.Histogram
	queue   metrics.Histogram
	entry   metrics.Histogram
	// answered counts answers to callers and refused counts refusals of the
	// gate, by result code.
	answered map[result.Code]metrics.Counter
	refused  map[result.Code]metrics.Counter
	retried  metrics.Gauge
	// notAdmitted is the number of requests that were refused before they were sent.
	notAdmitted metrics.Gauge
	retriesLeft metrics.Gauge
	hedged      metrics.Gauge
	hedgesWon   metrics.Gauge
	owned       metrics.Gauge
	grantUnits  metrics.Gauge
	lease       metrics.Gauge
	document    metrics.Gauge
	busy        metrics.Gauge
	queued      metrics.Gauge
	quarantined metrics.Gauge
	// rateLimit is the requests a second that the target takes, 0 for no limit, and
	// leaving 1 while it is about to end.
	rateLimit metrics.GaugeFloat64
	leaving   metrics.Gauge
	// cold is 1 while the target counts as cold and has a limit for it, and evacuated
	// the number of evacuated zones.
	cold      metrics.Gauge
	evacuated metrics.Gauge
	// workTime is how long work takes at the target, in percent of the usual time,
	// and otherRegion the number of requests that were sent to another region since
	// this one was much busier.
	workTime    metrics.Gauge
	bearable    metrics.Gauge // concurrent runs that the target bears
	otherRegion metrics.Gauge
	// previous is the number of replaced instances of the target that may hold slices.
	previous metrics.Gauge
	// unserved is the number of apps of routes without a gate in the allowed regions.
	unserved metrics.Gauge
	// callShare is the share of the slots that runs which make calls may take.
	callShare metrics.GaugeFloat64
}

// latencySampleSize is the number of samples that a histogram keeps.
const latencySampleSize = 1024

func newRoutingMetrics(registry metrics.Registry) routingMetrics {
	s := routingMetrics{
		registry:    registry,
		service:     metrics.NewHistogram(metrics.NewUniformSample(latencySampleSize)),
		queue:       metrics.NewHistogram(metrics.NewUniformSample(latencySampleSize)),
		entry:       metrics.NewHistogram(metrics.NewUniformSample(latencySampleSize)),
		answered:    make(map[result.Code]metrics.Counter),
		refused:     make(map[result.Code]metrics.Counter),
		retried:     metrics.GetOrRegisterGauge("requests.retried", registry),
		hedged:      metrics.GetOrRegisterGauge("requests.hedged", registry),
		hedgesWon:   metrics.GetOrRegisterGauge("requests.hedges_won", registry),
		notAdmitted: metrics.GetOrRegisterGauge("requests.not_admitted", registry),
		retriesLeft: metrics.GetOrRegisterGauge("requests.repeats_left", registry),
		owned:       metrics.GetOrRegisterGauge("slices.owned", registry),
		grantUnits:  metrics.GetOrRegisterGauge("grants.units", registry),
		lease:       metrics.GetOrRegisterGauge("lease.left_ms", registry),
		document:    metrics.GetOrRegisterGauge("document.version", registry),
		busy:        metrics.GetOrRegisterGauge("target.busy", registry),
		queued:      metrics.GetOrRegisterGauge("target.queued", registry),
		quarantined: metrics.GetOrRegisterGauge("requests.quarantined", registry),
		rateLimit:   metrics.GetOrRegisterGaugeFloat64("target.rate_limit", registry),
		leaving:     metrics.GetOrRegisterGauge("target.leaving", registry),
		cold:        metrics.GetOrRegisterGauge("target.cold", registry),
		evacuated:   metrics.GetOrRegisterGauge("evacuation.zones", registry),
		bearable:    metrics.GetOrRegisterGauge("target.bearable_runs", registry),
		workTime:    metrics.GetOrRegisterGauge("target.work_time_percent", registry),
		otherRegion: metrics.GetOrRegisterGauge("requests.to_other_region", registry),
		previous:    metrics.GetOrRegisterGauge("target.previous", registry),
		unserved:    metrics.GetOrRegisterGauge("routes.unserved", registry),
		callShare:   metrics.GetOrRegisterGaugeFloat64("target.call_share", registry),
	}
	_ = registry.Register("routing.service_us", s.service) // Fails only if the name is in use.
	_ = registry.Register("routing.queue_us", s.queue)
	_ = registry.Register("routing.entry_us", s.entry)
	return s
}

// increment increments the counter of a result code; its name begins with the
// prefix.
func (s *routingMetrics) increment(counters map[result.Code]metrics.Counter, prefix string, code result.Code) {
	c, ok := counters[code]
	if !ok {
		c = metrics.GetOrRegisterCounter(prefix+"."+code.String(), s.registry)
		counters[code] = c
	}
	c.Inc(1)
}

func (s *routingMetrics) recordAnswer(code result.Code, took mono.Time) {
	s.increment(s.answered, "requests.answered", code)
	s.entry.Update(int64(took) / int64(1000))
}

const percent = 100

func (s *routingMetrics) recordRefusal(code result.Code) {
	s.increment(s.refused, "gate.refused", code)
}

// updateGauges updates the gauges of the loop's current state.
func (r *routingLoop) updateGauges(now mono.Time) {
	s := &r.metrics
	s.retried.Update(int64(r.router.Counters().Retried))
	s.hedged.Update(int64(r.router.Counters().Hedged))
	s.hedgesWon.Update(int64(r.router.Counters().HedgesWon))
	s.notAdmitted.Update(int64(r.router.Counters().RefusedAtEntry))
	s.retriesLeft.Update(int64(r.router.RetriesLeft()))
	s.owned.Update(int64(r.holder.Counts().Owned))
	s.lease.Update(r.leaseEnd().Sub(now).Milliseconds())
	if d := r.fleet.document.Load(); d != nil {
		s.document.Update(int64(d.stored.Version))
	}
	s.quarantined.Update(int64(r.quarantine.Held(now)))
	said := r.targetStatus.Status()
	s.rateLimit.Update(said.RateLimit)
	s.leaving.Update(0)
	if said.Leaving {
		s.leaving.Update(1)
	}
	s.cold.Update(0)
	if r.gate != nil && r.gate.Cold() {
		s.cold.Update(1)
	}
	s.evacuated.Update(int64(len(r.evacuated)))
	s.otherRegion.Update(int64(r.balancer.Spilled()))
	s.previous.Update(int64(len(r.previous.list)))
	s.unserved.Update(int64(len(r.unserved)))
	if r.granter != nil {
		s.grantUnits.Update(int64(r.granter.Units()))
	}
	if r.gate != nil {
		load := r.gate.Load(now)
		s.busy.Update(int64(load.Busy))
		s.queued.Update(int64(load.Queued))
		s.bearable.Update(int64(r.gate.BearableRuns()))
		s.workTime.Update(int64(math.Round(percent * r.gate.WorkTime(now))))
	}
}
