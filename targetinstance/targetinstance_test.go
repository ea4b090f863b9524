package targetinstance_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/targetinstance"
)

const start = mono.Time(time.Hour)

// Announcements of the current instance count only if their sequence number
// is higher than every one before.
func TestCurrentInstanceAcceptsOnlyRisingSequence(t *testing.T) {
	var j targetinstance.Tracker
	must.Eq(t, targetinstance.NewInstance, j.Observe(start, targetinstance.Announcement{ID: "a", StartedMs: 1000, Sequence: 3}))
	must.Eq(t, targetinstance.Current, j.Observe(start, targetinstance.Announcement{ID: "a", StartedMs: 1000, Sequence: 4}))
	must.Eq(t, targetinstance.Stale, j.Observe(start, targetinstance.Announcement{ID: "a", StartedMs: 1000, Sequence: 4}))
	must.Eq(t, targetinstance.Stale, j.Observe(start, targetinstance.Announcement{ID: "a", StartedMs: 1000, Sequence: 2}))
}

// A late announcement of an earlier instance is stale, whether that one had
// the same name or another.
func TestEarlierInstanceIsStale(t *testing.T) {
	for _, id := range []string{"a", "b"} {
		var j targetinstance.Tracker
		j.Observe(start, targetinstance.Announcement{ID: id, StartedMs: 1000, Sequence: 90})
		must.Eq(t, targetinstance.NewInstance, j.Observe(start, targetinstance.Announcement{ID: "b", StartedMs: 2000, Sequence: 1}))
		must.Eq(t, targetinstance.Stale, j.Observe(start, targetinstance.Announcement{ID: id, StartedMs: 1000, Sequence: 91}))
		must.Eq(t, targetinstance.Current, j.Observe(start, targetinstance.Announcement{ID: "b", StartedMs: 2000, Sequence: 2}))
	}
}

// After the wall clock jumped back, a new instance has an earlier start time
// than the current one. It is accepted once the current one is silent.
func TestEarlierStartIsAcceptedAfterSilence(t *testing.T) {
	var j targetinstance.Tracker
	j.Observe(start, targetinstance.Announcement{ID: "a", StartedMs: 9000, Sequence: 9})
	restarted := targetinstance.Announcement{ID: "b", StartedMs: 4000, Sequence: 1}
	must.Eq(t, targetinstance.Stale, j.Observe(start.Add(time.Second), restarted))
	must.Eq(t, targetinstance.NewInstance, j.Observe(start.Add(3*time.Second), restarted))
}

// An instance that is about to end stays so, also when it announces itself
// again. The next one is not.
func TestLeavingInstanceStaysLeavingUntilReplaced(t *testing.T) {
	var j targetinstance.Tracker
	must.False(t, j.MarkLeaving(targetinstance.Departure{ID: "a"}))
	j.Observe(start, targetinstance.Announcement{ID: "a", StartedMs: 1000, Sequence: 1})
	must.False(t, j.MarkLeaving(targetinstance.Departure{ID: "b"}))
	must.True(t, j.MarkLeaving(targetinstance.Departure{ID: "a"}))
	j.Observe(start, targetinstance.Announcement{ID: "a", StartedMs: 1000, Sequence: 2})
	must.True(t, j.Leaving())
	j.Observe(start, targetinstance.Announcement{ID: "a", StartedMs: 2000, Sequence: 1})
	must.False(t, j.Leaving())
}

// An instance that was replaced must not come back by one late announcement,
// although its start time is later.
func TestLateAnnouncementOfReplacedInstanceIsStale(t *testing.T) {
	for _, id := range []string{"a", "b"} {
		var j targetinstance.Tracker
		j.Observe(start, targetinstance.Announcement{ID: id, StartedMs: 9000, Sequence: 9})
		must.Eq(t, targetinstance.NewInstance, j.Observe(start.Add(3*time.Second), targetinstance.Announcement{ID: "b", StartedMs: 4000, Sequence: 3}))
		must.Eq(t, targetinstance.Stale, j.Observe(start.Add(3100*time.Millisecond), targetinstance.Announcement{ID: id, StartedMs: 9000, Sequence: 10}))
		must.Eq(t, targetinstance.Current, j.Observe(start.Add(3900*time.Millisecond), targetinstance.Announcement{ID: "b", StartedMs: 4000, Sequence: 4}))
	}
}

// A batch of late announcements is no proof that a replaced instance lives, even
// if the current one is silent.
func TestLateBatchOfReplacedInstanceIsStale(t *testing.T) {
	var j targetinstance.Tracker
	j.Observe(start, targetinstance.Announcement{ID: "a", StartedMs: 9000, Sequence: 9})
	j.Observe(start.Add(3*time.Second), targetinstance.Announcement{ID: "b", StartedMs: 4000, Sequence: 3})
	for sequence := range uint64(5) {
		must.Eq(t, targetinstance.Stale, j.Observe(start.Add(6*time.Second), targetinstance.Announcement{ID: "a", StartedMs: 9000, Sequence: 10 + sequence}))
	}
}

// A living instance must not be locked out after a late announcement of another
// one replaced it.
func TestReplacedInstanceThatLivesComesBack(t *testing.T) {
	var j targetinstance.Tracker
	j.Observe(start, targetinstance.Announcement{ID: "a", StartedMs: 4000, Sequence: 1})
	must.True(t, j.MarkLeaving(targetinstance.Departure{ID: "a"}))
	must.Eq(t, targetinstance.NewInstance, j.Observe(start, targetinstance.Announcement{ID: "b", StartedMs: 9000, Sequence: 30}))
	must.False(t, j.Leaving())
	for beat := range 3 {
		must.Eq(t, targetinstance.Stale, j.Observe(start.Add(time.Duration(beat+1)*870*time.Millisecond), targetinstance.Announcement{ID: "a", StartedMs: 4000, Sequence: uint64(2 + beat)}))
	}
	must.Eq(t, targetinstance.NewInstance, j.Observe(start.Add(4*870*time.Millisecond), targetinstance.Announcement{ID: "a", StartedMs: 4000, Sequence: 5}))
	must.True(t, j.Leaving())
	must.Eq(t, targetinstance.Current, j.Observe(start.Add(5*870*time.Millisecond), targetinstance.Announcement{ID: "a", StartedMs: 4000, Sequence: 6}))
}

// A late deregistration of an earlier instance must not end the next one of the
// same name, which would get no slices as long as it lives.
func TestLateDepartureOfEarlierInstanceDoesNotMarkNext(t *testing.T) {
	var j targetinstance.Tracker
	j.Observe(start, targetinstance.Announcement{ID: "a", StartedMs: 1000, Sequence: 9})
	j.Observe(start, targetinstance.Announcement{ID: "a", StartedMs: 2000, Sequence: 1})
	must.False(t, j.MarkLeaving(targetinstance.Departure{ID: "a", StartedMs: 1000}))
	must.False(t, j.Leaving())
	must.True(t, j.MarkLeaving(targetinstance.Departure{ID: "a", StartedMs: 2000}))
	must.True(t, j.Leaving())
}

// Late announcements rise too: they must not pass for a new instance that has the
// start time of the current one.
func TestLateBatchOfCurrentInstanceIsStale(t *testing.T) {
	var j targetinstance.Tracker
	j.Observe(start, targetinstance.Announcement{ID: "a", StartedMs: 1000, Sequence: 9})
	for sequence := range uint64(5) {
		must.Eq(t, targetinstance.Stale, j.Observe(start.Add(time.Second), targetinstance.Announcement{ID: "a", StartedMs: 1000, Sequence: 4 + sequence}))
	}
	must.Eq(t, targetinstance.Current, j.Observe(start.Add(time.Second), targetinstance.Announcement{ID: "a", StartedMs: 1000, Sequence: 10}))
}
