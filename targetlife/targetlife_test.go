package targetlife_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/targetlife"
)

const start = mono.Time(time.Hour)

func TestAnnouncementsOfTheLifeThatRuns(t *testing.T) {
	var j targetlife.Judge
	must.Eq(t, targetlife.NewLife, j.Take(start, targetlife.Claim{ID: "a", StartedMs: 1000, Sequence: 3}))
	must.Eq(t, targetlife.Current, j.Take(start, targetlife.Claim{ID: "a", StartedMs: 1000, Sequence: 4}))
	must.Eq(t, targetlife.Stale, j.Take(start, targetlife.Claim{ID: "a", StartedMs: 1000, Sequence: 4}))
	must.Eq(t, targetlife.Stale, j.Take(start, targetlife.Claim{ID: "a", StartedMs: 1000, Sequence: 2}))
}

// A late announcement of an earlier life changes nothing, whether it has the
// same name or not.
func TestAnEarlierLifeIsStale(t *testing.T) {
	for _, id := range []string{"a", "b"} {
		var j targetlife.Judge
		j.Take(start, targetlife.Claim{ID: id, StartedMs: 1000, Sequence: 90})
		must.Eq(t, targetlife.NewLife, j.Take(start, targetlife.Claim{ID: "b", StartedMs: 2000, Sequence: 1}))
		must.Eq(t, targetlife.Stale, j.Take(start, targetlife.Claim{ID: id, StartedMs: 1000, Sequence: 91}))
		must.Eq(t, targetlife.Current, j.Take(start, targetlife.Claim{ID: "b", StartedMs: 2000, Sequence: 2}))
	}
}

// A life that dates its start earlier, after the clock of day jumped back, is
// believed once the one known is silent.
func TestAClockThatJumpedBack(t *testing.T) {
	var j targetlife.Judge
	j.Take(start, targetlife.Claim{ID: "a", StartedMs: 9000, Sequence: 9})
	later := targetlife.Claim{ID: "b", StartedMs: 4000, Sequence: 1}
	must.Eq(t, targetlife.Stale, j.Take(start.Add(time.Second), later))
	must.Eq(t, targetlife.NewLife, j.Take(start.Add(3*time.Second), later))
}

// A life that leaves does not come back; the next one is not leaving.
func TestALifeThatLeaves(t *testing.T) {
	var j targetlife.Judge
	must.False(t, j.Leave("a"))
	j.Take(start, targetlife.Claim{ID: "a", StartedMs: 1000, Sequence: 1})
	must.False(t, j.Leave("b"))
	must.True(t, j.Leave("a"))
	j.Take(start, targetlife.Claim{ID: "a", StartedMs: 1000, Sequence: 2})
	must.True(t, j.Leaving())
	j.Take(start, targetlife.Claim{ID: "a", StartedMs: 2000, Sequence: 1})
	must.False(t, j.Leaving())
}
