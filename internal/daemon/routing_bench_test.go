package daemon

import (
	"strconv"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/result"
)

// BenchmarkRequest measures a request from Submit to the reply, with a target
// that answers at once: submitted at the owner (1hop) and at another daemon
// (2hops).
func BenchmarkRequest(b *testing.B) {
	for _, level := range []event.Level{event.Info, event.Warn} {
		p := newRoutingPair(b, level)
		for name, d := range map[string]*Daemon{"1hop": p.owner, "2hops": p.entry} {
			b.Run(name+"/"+level.String(), func(b *testing.B) { benchmarkRequest(b, p, d) })
		}
	}
}

func benchmarkRequest(b *testing.B, p *routingPair, d *Daemon) {
	body := make([]byte, 256)
	b.ReportAllocs()
	for b.Loop() {
		a := p.call(b, d, "b"+strconv.FormatUint(uint64(p.calls), 10), body)
		must.Eq(b, result.OK, a.Code)
	}
}
