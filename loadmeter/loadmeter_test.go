package loadmeter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/loadmeter"
	"github.com/rhubarbring/rhubarbring/mono"
)

// A key with a large part of the load is reported however many other keys are
// in use, and its load is never underestimated.
func TestHeavyKeyIsNeverMissed(t *testing.T) {
	start := mono.Time(time.Hour)
	m := loadmeter.New(start)
	for i := range 10_000 {
		m.AddRun(1, fmt.Sprint("light", i), time.Millisecond)
		if i%10 == 0 {
			m.AddRun(2, "heavy", 10*time.Millisecond)
		}
	}
	end := start.Add(10 * time.Second)
	must.Greater(t, float32(0.99), m.HottestKeyLoad(end))
	slices, keys := m.Take(end, 3)
	must.SliceLen(t, 2, slices)
	must.Eq(t, float32(1), slices[0].BusySlots)
	must.Eq(t, float32(1), slices[1].BusySlots)
	must.SliceLen(t, 3, keys)
	must.Eq(t, "heavy", keys[0].Key)
	must.GreaterEq(t, float32(1), keys[0].BusySlots)
}

func TestTakeResetsMeter(t *testing.T) {
	m := loadmeter.New(1)
	m.AddRun(1, "k", time.Second)
	_, keys := m.Take(mono.Time(time.Second), 8)
	must.SliceLen(t, 1, keys)
	slices, keys := m.Take(mono.Time(2*time.Second), 8)
	must.SliceEmpty(t, slices)
	must.SliceEmpty(t, keys)
	must.Zero(t, m.HottestKeyLoad(mono.Time(3*time.Second)))
}

// A rejected request counts as load of its slice, but not as a run.
func TestRunStatsLeavesOutRejectedRequests(t *testing.T) {
	m := loadmeter.New(1)
	m.AddRun(1, "k", 100*time.Millisecond)
	m.AddRun(2, "k", 300*time.Millisecond)
	m.AddRejected(2, "k", time.Second)
	n, service := m.RunStats()
	must.Eq(t, 2, n)
	must.Eq(t, 200*time.Millisecond, service)
	slices, _ := m.Take(mono.Time(time.Second), 1)
	must.Greater(t, float32(1.2), slices[1].BusySlots)
	n, service = m.RunStats()
	must.Zero(t, n)
	must.Zero(t, service)
}
