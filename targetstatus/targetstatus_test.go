package targetstatus_test

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/targetstatus"
)

const (
	start    = mono.Time(time.Hour)
	instance = 7
)

var (
	none    = targetstatus.Statement{Conclusive: true}
	ten     = limit(10)
	leaving = targetstatus.Statement{Leaving: true}
)

func limit(perSecond float64) targetstatus.Statement {
	return targetstatus.Statement{LimitNamed: true, Limit: perSecond, Conclusive: true}
}

func newLocal() *targetstatus.Local {
	l := &targetstatus.Local{}
	l.Begin(instance)
	return l
}

func at(seconds int) mono.Time {
	return start.Add(time.Duration(seconds) * time.Second)
}

func TestParseLimit(t *testing.T) {
	nan := math.NaN()
	cases := map[string]struct {
		values []string
		want   float64
	}{
		"decimal":          {[]string{"12.5"}, 12.5},
		"blanks":           {[]string{"  8 "}, 8},
		"exponent":         {[]string{"1e2"}, 100},
		"zero":             {[]string{"0"}, 0},
		"minus zero":       {[]string{"-0"}, 0},
		"huge":             {[]string{"1e999"}, math.Inf(1)},
		"empty":            {[]string{""}, nan},
		"negative":         {[]string{"-3"}, nan},
		"not a number":     {[]string{"NaN"}, nan},
		"infinity by name": {[]string{"Inf"}, nan},
		"hexadecimal":      {[]string{"0x10"}, nan},
		"unit":             {[]string{"10/s"}, nan},
		"two fields":       {[]string{"20", "5"}, 5},
		"list":             {[]string{"20, 5, 30"}, 5},
		"one is bad":       {[]string{"-1", "many", "6"}, 6},
	}
	for name, c := range cases {
		got := targetstatus.ParseLimit(c.values)
		must.True(t, got == c.want || math.IsNaN(got) && math.IsNaN(c.want), must.Sprint(name, got))
	}
}

func TestSaysLeaving(t *testing.T) {
	for _, values := range [][]string{{"1"}, {" 1 "}, {"0", "1"}, {"0, 1"}} {
		must.True(t, targetstatus.SaysLeaving(values), must.Sprint(values))
	}
	for _, values := range [][]string{nil, {""}, {"0"}, {"yes"}, {"-1"}, {"11"}} {
		must.False(t, targetstatus.SaysLeaving(values), must.Sprint(values))
	}
}

func TestLimitEndsWhenAnswersStopNamingIt(t *testing.T) {
	l := newLocal()
	must.True(t, l.Heard(at(1), at(0), instance, ten))
	must.Eq(t, 10, l.Status().RateLimit)
	must.False(t, l.Heard(at(2), at(1), instance, ten))
	must.True(t, l.Heard(at(3), at(2), instance, none))
	must.Eq(t, 0, l.Status().RateLimit)
}

func TestLateAnswerWithoutLimitDoesNotEndIt(t *testing.T) {
	l := newLocal()
	l.Heard(at(5), at(4), instance, ten)
	must.False(t, l.Heard(at(6), at(3), instance, none))
	must.Eq(t, 10, l.Status().RateLimit)
}

// Only answers that would name a limit can end one by not naming it.
func TestInconclusiveAnswerDoesNotEndLimit(t *testing.T) {
	l := newLocal()
	l.Heard(at(1), at(0), instance, ten)
	must.False(t, l.Heard(at(3), at(2), instance, targetstatus.Statement{}))
	must.Eq(t, 10, l.Status().RateLimit)
}

func TestUnusualLimits(t *testing.T) {
	cases := map[string]struct{ named, want float64 }{
		"unreadable keeps the present one": {math.NaN(), 10},
		"negative keeps the present one":   {-1, 10},
		"zero":                             {0, targetstatus.MinRateLimit},
		"below the lowest":                 {0.01, targetstatus.MinRateLimit},
		"without bound is none":            {math.Inf(1), 0},
		"large":                            {1e12, 1e12},
	}
	for name, c := range cases {
		l := newLocal()
		l.Heard(at(1), at(0), instance, ten)
		l.Heard(at(3), at(2), instance, limit(c.named))
		must.Eq(t, c.want, l.Status().RateLimit, must.Sprint(name))
	}
	l := newLocal()
	must.False(t, l.Heard(at(1), at(0), instance, limit(math.NaN())))
	must.True(t, l.Status().IsZero())
}

func TestLeavingStaysUntilNextInstance(t *testing.T) {
	l := newLocal()
	must.True(t, l.Heard(at(1), at(0), instance, leaving))
	must.False(t, l.Heard(at(2), at(1), instance, none))
	must.True(t, l.Status().Leaving)
	l.Begin(instance + 1)
	must.True(t, l.Status().IsZero())
	must.False(t, l.Heard(at(3), at(2), instance, leaving), must.Sprint("an answer of the earlier instance"))
	must.True(t, l.Status().IsZero())
}

func TestMergeKeepsWhatEarlierAnswerSays(t *testing.T) {
	must.Eq(t, ten, ten.Merge(targetstatus.Statement{}))
	must.Eq(t, none, ten.Merge(none))
	must.True(t, leaving.Merge(none).Leaving)
}

func report(perSecond float64, leaves bool) targetstatus.Report {
	return targetstatus.Report{Host: "h", Instance: instance, RateLimit: perSecond, Leaving: leaves}
}

func TestStatusOutlivesRestartOfDaemon(t *testing.T) {
	old := host.Session{Host: "h", Incarnation: 1}
	next := host.Session{Host: "h", Incarnation: 2}
	gate := newLocal()
	gate.Heard(at(1), at(0), instance, ten)
	gate.Heard(at(2), at(1), instance, leaving)
	var d targetstatus.Directory
	d.Learn(at(2), old, gate.Report("h"))
	_, ok := d.Untold(old)
	must.False(t, ok)
	r, ok := d.Untold(next)
	must.True(t, ok)

	for _, announcedFirst := range []bool{true, false} {
		restarted := &targetstatus.Local{}
		if announcedFirst {
			restarted.Begin(instance)
		}
		must.Eq(t, announcedFirst, restarted.Reported(r))
		if !announcedFirst {
			restarted.Begin(instance)
		}
		must.Eq(t, gate.Status(), restarted.Status())
		must.True(t, restarted.Heard(at(9), at(8), instance, none))
		must.Eq(t, targetstatus.Status{Leaving: true}, restarted.Status())
		must.False(t, restarted.Reported(r), must.Sprint("the instance's own answers count for more"))
	}
}

func TestReportTellsThatOthersKnewOfTheEnd(t *testing.T) {
	l := newLocal()
	l.Heard(at(1), at(0), instance, leaving)
	must.False(t, l.LeavingReported())
	must.False(t, l.Reported(report(5, false)) && l.LeavingReported())
	must.True(t, l.Reported(report(0, true)))
	must.True(t, l.LeavingReported())
	must.False(t, l.Reported(report(0, true)))
	l.Begin(instance + 1)
	must.False(t, l.LeavingReported())
}

func TestNewInstanceOwesNothingForReportsOfEarlierOne(t *testing.T) {
	l := &targetstatus.Local{}
	l.Reported(report(10, true))
	l.Begin(instance + 1)
	must.True(t, l.Status().IsZero())
	must.False(t, l.Reported(report(10, true)))
	must.True(t, l.Status().IsZero())
}

func TestLowestReportedLimitCounts(t *testing.T) {
	l := newLocal()
	for _, perSecond := range []float64{10, 0, 4, math.NaN(), math.Inf(1), -2, 7} {
		l.Reported(report(perSecond, false))
	}
	must.Eq(t, 4, l.Status().RateLimit)
}

func TestReportIsRepeatedAfterLostConnection(t *testing.T) {
	var d targetstatus.Directory
	next := host.Session{Host: "h", Incarnation: 2}
	d.Learn(start, host.Session{Host: "h", Incarnation: 1}, report(10, true))
	must.True(t, d.Leaving("h", instance))
	must.False(t, d.Leaving("h", instance+1))
	d.Told(next)
	_, untold := d.Untold(next)
	must.False(t, untold)
	d.Forget(next)
	_, untold = d.Untold(next)
	must.True(t, untold)
}

func TestDirectoryDropsWhatHasEnded(t *testing.T) {
	var d targetstatus.Directory
	gate := host.Session{Host: "h", Incarnation: 1}
	next := host.Session{Host: "h", Incarnation: 2}
	known := func() bool { _, ok := d.Untold(next); return ok }
	d.Learn(start, gate, report(10, false))
	must.True(t, known())
	d.Learn(start, gate, report(0, false))
	must.False(t, known())
	d.Learn(start, host.Session{Host: "other"}, report(10, false))
	must.False(t, known(), must.Sprint("only the daemon beside a target reports it"))
	d.Learn(start, gate, report(10, false))
	d.Expire(start.Add(time.Minute))
	must.True(t, known())
	d.Expire(start.Add(time.Hour))
	must.False(t, known())
}

// Whatever answers and reports come in whatever order, a leaving instance stays
// leaving, and a limit in force is one that was named for the instance.
func TestStatusFollowsOnlyItsInstance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLocal()
		left := false
		named := map[float64]bool{0: true}
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			of := rapid.Uint64Range(instance, instance+1).Draw(t, "instance")
			perSecond := rapid.Float64Range(1, 50).Draw(t, "limit")
			leaves := rapid.Bool().Draw(t, "leaves")
			if of == instance {
				left = left || leaves
				named[perSecond] = true
			}
			if rapid.Bool().Draw(t, "report") {
				l.Reported(targetstatus.Report{Host: "h", Instance: of, RateLimit: perSecond, Leaving: leaves})
			} else {
				s := limit(perSecond)
				s.Leaving = leaves
				l.Heard(at(i), at(rapid.IntRange(0, i).Draw(t, "sent")), of, s)
			}
			must.Eq(t, left, l.Status().Leaving)
			must.True(t, named[l.Status().RateLimit])
		}
	})
}
