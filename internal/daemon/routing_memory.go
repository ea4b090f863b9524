package daemon

import (
	"github.com/rcrowley/go-metrics"

	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/internal/entry"
)

// Factors by which bytes of other uses count toward the memory for callers and other
// daemons.
const (
	// peerBytesFactor is counted for each byte of a message between daemons: its
	// buffer, and the message once it is decoded.
	peerBytesFactor = 2
	// gateBytesFactor is counted for each byte of a body at the gate: the body, its
	// copy behind the header that is sent to the target, and the buffer that it
	// arrived in.
	gateBytesFactor = 3
)

// shareMemory counts what the gates and the connections to other daemons hold in the
// same sum as callers' connections, and bounds them by what these leave.
func (r *routingLoop) shareMemory() {
	if r.bodyBudget == 0 || r.otherMemory == nil {
		return
	}
	gates := 0
	for _, g := range r.retiredGates {
		gates += g.BodyBytes()
	}
	if r.gate != nil {
		gates += r.gate.BodyBytes()
	}
	room := r.otherMemory(r.peers.HeldBytes()*peerBytesFactor + gates*gateBytesFactor)
	r.peers.LimitHeldBytes(max(room-gates*gateBytesFactor, 1) / peerBytesFactor)
	if r.gate != nil {
		r.gate.SetMaxBodyBytes(max(min(r.bodyBudget, room/gateBytesFactor), 1))
	}
}

// memoryMetrics are the metrics of what callers and other daemons make this daemon
// hold.
type memoryMetrics struct {
	connections metrics.Gauge
	bytes       metrics.Gauge
	closed      metrics.Counter
	dropped     int // Messages that were dropped, as last logged.
}

func newMemoryMetrics(registry metrics.Registry) memoryMetrics {
	return memoryMetrics{
		connections: metrics.GetOrRegisterGauge("callers.connections", registry),
		bytes:       metrics.GetOrRegisterGauge("callers.bytes", registry),
		closed:      metrics.GetOrRegisterCounter("callers.closed", registry),
	}
}

// reportMemory updates the gauges, and logs what was closed or dropped since it was
// called last.
func (r *routingLoop) reportMemory() {
	if r.callerUsage == nil {
		return
	}
	used := r.callerUsage()
	m := &r.memory
	m.connections.Update(int64(used.Connections))
	m.bytes.Update(int64(used.Bytes))
	if closed := int64(used.Closed) - m.closed.Count(); closed > 0 {
		m.closed.Inc(closed)
		r.log.Event(event.CallersClosed, "count", closed, "connections", used.Connections, "bytes", used.Bytes)
	}
	if dropped := r.peers.Dropped(); dropped > m.dropped {
		r.log.Event(event.RequestsDropped, "count", dropped-m.dropped, "bytes", r.peers.HeldBytes())
		m.dropped = dropped
	}
}

// setEntry connects the loop with the server for callers. It is called before the
// loop starts.
func (r *routingLoop) setEntry(s *entry.Server) {
	r.otherMemory, r.callerUsage = s.SetOtherMemory, s.Usage
}
