// Package loadmeter measures how much of a target's capacity each slice and
// the hottest keys use. Its memory is bounded by the number of slices that the
// daemon owns and a fixed number of keys, independent of the number of keys in
// use.
package loadmeter

import (
	"sort"
	"time"

	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/placement"
)

// trackedKeys is the number of keys that are counted at a time. A key that
// causes more than 1/trackedKeys of the load is always among them.
const trackedKeys = 64

// Meter accumulates, since the last call of Take, the time that requests
// occupied the target's slots and that rejected ones would have occupied them.
// It is not safe for concurrent use.
type Meter struct {
	since   mono.Time
	runs    int
	runTime time.Duration // total time of the runs
	slices  map[key.SliceID]time.Duration
	keys    map[string]time.Duration
}

// New returns a meter whose first interval starts at now.
func New(now mono.Time) *Meter {
	m := &Meter{}
	m.reset(now)
	return m
}

func (m *Meter) reset(now mono.Time) {
	m.since = now
	m.runs, m.runTime = 0, 0
	m.slices = make(map[key.SliceID]time.Duration)
	m.keys = make(map[string]time.Duration, trackedKeys)
}

// AddRun counts a run that occupied a slot for the duration busy. The key is
// empty for an app that is not divided by key.
func (m *Meter) AddRun(slice key.SliceID, k string, busy time.Duration) {
	m.runs++
	m.runTime += busy
	m.AddRejected(slice, k, busy)
}

// RunStats returns the number of runs since the last Take and their mean time.
func (m *Meter) RunStats() (int, time.Duration) {
	if m.runs == 0 {
		return 0, 0
	}
	return m.runs, m.runTime / time.Duration(m.runs)
}

// AddRejected counts a request that was rejected because the target had no room
// for it. It adds to the load of the slice and the key, but not to the runs. The
// duration busy is the time for which the request would have occupied a slot.
func (m *Meter) AddRejected(slice key.SliceID, k string, busy time.Duration) {
	m.slices[slice] += busy
	if k != "" {
		m.addKey(k, busy)
	}
}

// addKey implements the Space-Saving algorithm: a new key replaces the one with
// the least load and inherits its load. Loads may be overestimated, never
// underestimated, so a heavy key is never missed.
func (m *Meter) addKey(k string, busy time.Duration) {
	if _, ok := m.keys[k]; ok || len(m.keys) < trackedKeys {
		m.keys[k] += busy
		return
	}
	least := m.leastKey()
	inherited := m.keys[least]
	delete(m.keys, least)
	m.keys[k] = inherited + busy
}

// leastKey returns the key with the least load. Among several it is the first
// by name, so that the result does not depend on the order of the map.
func (m *Meter) leastKey() string {
	var least string
	first := true
	for k, busy := range m.keys {
		if first || busy < m.keys[least] || busy == m.keys[least] && k < least {
			least, first = k, false
		}
	}
	return least
}

// HottestKeyLoad returns the mean number of slots that the requests of the
// hottest key occupied or, if rejected, would have occupied since the last Take.
// Like every load of a key it may be an overestimate.
func (m *Meter) HottestKeyLoad(now mono.Time) float32 {
	span := now.Sub(m.since)
	if span <= 0 {
		return 0
	}
	var most time.Duration
	for _, busy := range m.keys {
		most = max(most, busy)
	}
	return meanBusySlots(most, span)
}

// Take returns, for each slice and each of the up to maxKeys hottest keys, the
// mean number of slots that its requests occupied or, if rejected, would have
// occupied since the last call, and resets the meter.
// Slices are in ascending order, keys in descending order of load. If no time
// has passed since the last call it returns nothing and resets nothing.
func (m *Meter) Take(now mono.Time, maxKeys int) ([]placement.SliceLoad, []placement.KeyLoad) {
	span := now.Sub(m.since)
	if span <= 0 {
		return nil, nil
	}
	slices := make([]placement.SliceLoad, 0, len(m.slices))
	for id, busy := range m.slices {
		slices = append(slices, placement.SliceLoad{ID: id, BusySlots: meanBusySlots(busy, span)})
	}
	sort.Slice(slices, func(i, j int) bool { return slices[i].ID < slices[j].ID })
	keys := make([]placement.KeyLoad, 0, len(m.keys))
	for k, busy := range m.keys {
		keys = append(keys, placement.KeyLoad{Key: k, BusySlots: meanBusySlots(busy, span)})
	}
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].BusySlots != keys[j].BusySlots {
			return keys[i].BusySlots > keys[j].BusySlots
		}
		return keys[i].Key < keys[j].Key
	})
	m.reset(now)
	return slices, keys[:min(maxKeys, len(keys))]
}

// meanBusySlots returns the mean number of slots that were busy during a span,
// given their total busy time.
func meanBusySlots(busy, span time.Duration) float32 {
	return float32(float64(busy) / float64(span))
}
