// Package loadmeter measures at a gate how busy each slice and the hottest
// keys keep the target. Its memory grows with the slices that the daemon owns
// and a fixed number of keys, never with the keys in use.
package loadmeter

import (
	"sort"
	"time"

	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/placement"
)

// trackedKeys is the number of keys that are counted at one time; a key that
// causes more than one part in trackedKeys of the load is surely among them.
const trackedKeys = 64

// Meter adds up busy time since the last report. It belongs to one goroutine.
type Meter struct {
	since  mono.Time
	runs   int
	ran    time.Duration // Sum of the times of the runs.
	slices map[key.SliceID]time.Duration
	keys   map[string]time.Duration
}

// New returns a meter that starts at now.
func New(now mono.Time) *Meter {
	m := &Meter{}
	m.reset(now)
	return m
}

func (m *Meter) reset(now mono.Time) {
	m.since = now
	m.runs, m.ran = 0, 0
	m.slices = make(map[key.SliceID]time.Duration)
	m.keys = make(map[string]time.Duration, trackedKeys)
}

// Add counts a run that kept a slot busy for a time.
func (m *Meter) Add(slice key.SliceID, k string, busy time.Duration) {
	m.runs++
	m.ran += busy
	m.Wanted(slice, k, busy)
}

// Runs returns how many runs were counted since the last Take, and their mean
// time.
func (m *Meter) Runs() (int, time.Duration) {
	if m.runs == 0 {
		return 0, 0
	}
	return m.runs, m.ran / time.Duration(m.runs)
}

// Wanted counts the time that a slot would have been busy with a request that
// found no room.
func (m *Meter) Wanted(slice key.SliceID, k string, busy time.Duration) {
	m.slices[slice] += busy
	if k != "" {
		m.addKey(k, busy)
	}
}

// addKey follows the Space-Saving algorithm: a new key takes the place of the
// least one and inherits its count, so that a heavy key is never missed.
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

// Hottest returns the mean number of busy slots that the hottest key caused
// since the last Take.
func (m *Meter) Hottest(now mono.Time) float32 {
	span := now.Sub(m.since)
	if span <= 0 {
		return 0
	}
	var most time.Duration
	for _, busy := range m.keys {
		most = max(most, busy)
	}
	return share(most, span)
}

// Take returns the mean number of busy slots that each slice, and each of up
// to maxKeys keys, caused since the last call, and starts anew. Slices are in
// ascending order, keys by descending load.
func (m *Meter) Take(now mono.Time, maxKeys int) ([]placement.SliceLoad, []placement.KeyLoad) {
	span := now.Sub(m.since)
	if span <= 0 {
		return nil, nil
	}
	slices := make([]placement.SliceLoad, 0, len(m.slices))
	for id, busy := range m.slices {
		slices = append(slices, placement.SliceLoad{ID: id, Busy: share(busy, span)})
	}
	sort.Slice(slices, func(i, j int) bool { return slices[i].ID < slices[j].ID })
	keys := make([]placement.KeyLoad, 0, len(m.keys))
	for k, busy := range m.keys {
		keys = append(keys, placement.KeyLoad{Key: k, Busy: share(busy, span)})
	}
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].Busy != keys[j].Busy {
			return keys[i].Busy > keys[j].Busy
		}
		return keys[i].Key < keys[j].Key
	})
	m.reset(now)
	return slices, keys[:min(maxKeys, len(keys))]
}

func share(busy, span time.Duration) float32 {
	return float32(float64(busy) / float64(span))
}
