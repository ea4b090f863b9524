package gate

import (
	"math"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/request"
)

// Guards against an announcement that ends the process: the gate allocated an entry for
// each announced connection.
func TestAnnouncedConnectionsTakeNoMemoryBeforeUse(t *testing.T) {
	f := newFixture(Announcement{Slots: math.MaxInt, Connections: math.MaxInt, State: Warm}, startTime)
	must.Eq(t, 0, cap(f.gate.connInUse))
	f.arrive(startTime, request.Normal, nil)
	must.Len(t, 1, f.out.Starts)
	must.Eq(t, 0, f.out.Starts[0].Connection)
	f.arrive(startTime, request.Normal, nil)
	must.Eq(t, 1, f.out.Starts[0].Connection)
}

// Guards against connections beyond the announced number, also after it has shrunk.
func TestGateUsesNoMoreConnectionsThanAnnounced(t *testing.T) {
	announced := Announcement{Slots: 9, Connections: 3, State: Warm, ReportsCold: true}
	f := newFixture(announced, startTime)
	f.fill(9)
	must.Eq(t, []bool{true, true, true}, f.gate.connInUse)
	must.Eq(t, noConnection, f.gate.freeConnection())
	announced.Connections = 2
	f.gate.TargetAnnounced(startTime, announced, &f.out)
	must.Eq(t, noConnection, f.gate.freeConnection())
	f.gate.connInUse[1] = false
	must.Eq(t, 1, f.gate.freeConnection())
}
