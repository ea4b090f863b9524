package quarantine

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/mono"
)

func TestReportKeepsTheNewestCrashes(t *testing.T) {
	var r Report
	for i := range uint64(maxReported + 4) {
		r.Add(Crash{Instance: i, Requests: []Fingerprint{Of(get("/a"))}})
	}
	raw, err := r.Encode()
	must.NoError(t, err)
	back, err := DecodeReport(raw)
	must.NoError(t, err)
	must.Eq(t, r, back)
	must.Len(t, maxReported, back.Crashes)
	must.Eq(t, 4, back.Crashes[0].Instance)
	r.Add(Crash{Instance: maxReported + 3, Requests: []Fingerprint{{1}, {2}}})
	must.Len(t, maxReported, r.Crashes)
	must.Len(t, 2, r.Crashes[maxReported-1].Requests)
	later := Report{Crashes: []Crash{{Instance: 99}}}
	later.Merge(r)
	must.Len(t, maxReported, later.Crashes)
	must.Eq(t, 99, later.Crashes[maxReported-1].Instance)
	_, err = DecodeReport([]byte(`{"crashes":[{"requests":["zz"]}]}`))
	must.Error(t, err)
}

// Guards against a popular request that is refused everywhere after a restart: a daemon
// that starts counts the stored crashes one after the other, with the answers that came
// between them.
func TestAnswersBetweenStoredCrashesCount(t *testing.T) {
	popular := Of(get("/popular"))
	var reports [2]Report
	for i := range reports {
		reports[i].Add(Crash{Instance: uint64(i), Requests: []Fingerprint{popular}})
	}
	must.True(t, isHeldAfterRestart(t, reports[:]), must.Sprint("nobody has answered it"))
	must.True(t, reports[0].Answer(popular))
	must.False(t, reports[0].Answer(popular), must.Sprint("it is known"))
	must.False(t, reports[0].Answer(Of(get("/other"))))
	must.False(t, isHeldAfterRestart(t, reports[:]))
	reports[0].Add(Crash{Instance: 0, Requests: []Fingerprint{popular, {1}}})
	must.False(t, isHeldAfterRestart(t, reports[:]), must.Sprint("a run that was found lost later"))
	reports[0].Add(Crash{Instance: 7, Requests: []Fingerprint{popular}})
	must.True(t, isHeldAfterRestart(t, reports[:]), must.Sprint("two crashes without an answer after them"))
}

// isHeldAfterRestart reports whether a daemon that starts with the stored reports holds
// the request "/popular".
func isHeldAfterRestart(t *testing.T, reports []Report) bool {
	const now = mono.Time(time.Hour)
	l := NewLedger()
	for _, r := range reports {
		raw, err := r.Encode()
		must.NoError(t, err)
		stored, err := DecodeReport(raw)
		must.NoError(t, err)
		for _, c := range stored.Crashes {
			l.Record(now, c)
		}
	}
	_, held := l.Check(now, get("/popular"))
	return held
}
