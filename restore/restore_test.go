package restore_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/restore"
	"github.com/rhubarbring/rhubarbring/session"
)

func mustEpoch(t *testing.T, era restore.Era, counter uint64) restore.Epoch {
	t.Helper()
	e, ok := restore.NewEpoch(era, counter)
	must.True(t, ok)
	must.Eq(t, era, e.Era())
	must.Eq(t, counter, e.Counter())
	return e
}

func TestEpochOfLaterEraIsHigher(t *testing.T) {
	must.Eq(t, restore.Epoch(7), mustEpoch(t, 0, 7)) // As before epochs carried an era.
	must.Less(t, mustEpoch(t, 1, 0), mustEpoch(t, 0, restore.MaxCounter))
	must.Less(t, mustEpoch(t, 65535, 1), mustEpoch(t, 65534, restore.MaxCounter))
	_, ok := restore.NewEpoch(0, restore.MaxCounter+1)
	must.False(t, ok)
}

func TestNextEpoch(t *testing.T) {
	for _, c := range []struct {
		name     string
		known    restore.Epoch
		replaced restore.Version
		next     restore.Epoch
		ok       bool
	}{
		{"era 0 counts up", mustEpoch(t, 0, 7), restore.Version{Era: 0, Revision: 90}, mustEpoch(t, 0, 8), true},
		{"first write after a rise", mustEpoch(t, 0, 700), restore.Version{Era: 1, Revision: 90}, mustEpoch(t, 1, 90), true},
		{"within an era", mustEpoch(t, 1, 90), restore.Version{Era: 1, Revision: 95}, mustEpoch(t, 1, 95), true},
		{"a target has seen a higher one", mustEpoch(t, 1, 99), restore.Version{Era: 1, Revision: 95}, mustEpoch(t, 1, 100), true},
		{"the writer is behind", mustEpoch(t, 2, 1), restore.Version{Era: 1, Revision: 95}, 0, false},
		{"no counter is left", mustEpoch(t, 1, restore.MaxCounter), restore.Version{Era: 1, Revision: 95}, 0, false},
	} {
		next, ok := restore.Next(c.known, c.replaced)
		must.Eq(t, c.ok, ok, must.Sprint(c.name))
		must.Eq(t, c.next, next, must.Sprint(c.name))
	}
}

func TestVersionsAreOrderedByEraFirst(t *testing.T) {
	old, restored, newer := restore.Version{Era: 1, Revision: 50}, restore.Version{Era: 2, Revision: 40}, restore.Version{Era: 2, Revision: 41}
	must.Eq(t, -1, old.Compare(restored))
	must.Eq(t, -1, restored.Compare(newer))
	must.Eq(t, +1, newer.Compare(old))
	must.Eq(t, 0, old.Compare(old))
}

func TestVersionOfEarlierEraIsNoCondition(t *testing.T) {
	v := restore.Version{Era: 1, Revision: 50}
	must.True(t, v.Conditions(1))
	must.False(t, v.Conditions(2))
	must.False(t, restore.Version{Era: 1}.Conditions(1))
	must.True(t, v.Applied(1))
	must.False(t, v.Applied(2))
}

func TestEpochIsInForceInItsOwnEraOnly(t *testing.T) {
	e := mustEpoch(t, 1, 50)
	must.True(t, e.InForce(1))
	must.False(t, e.InForce(2))
	must.False(t, e.InForce(0))
}

func TestWaitOutlastsHold(t *testing.T) {
	timing := session.DefaultTiming()
	must.Eq(t, timing.Lease+timing.Margin, restore.Wait(timing.Lease, timing.Margin))
	must.Eq(t, restore.NoticeTime+restore.ClaimTime+timing.Lease+timing.Margin, restore.UnclaimedWait(timing.Lease, timing.Margin))
}
