package session_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/result"
	"github.com/rhubarbring/rhubarbring/session"
)

// A first write that was in doubt for CreateTimeout is not sent again: the
// record may have been taken over and deleted meanwhile. A write that never
// reached the store is sent again.
func TestFirstWriteLongInDoubtIsNotSentAgain(t *testing.T) {
	for _, tc := range []struct {
		name    string
		outcome result.Code
		puts    int
	}{
		{"in doubt", result.StoreDoubt, 0},
		{"never sent", result.StoreUnavailable, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			timing := session.DefaultTiming()
			c := session.New(session.Config{Session: host.Session{Host: "h0", Incarnation: 1}, Timing: timing, StartWithStoreLease: true})
			now := mono.Time(0)
			first := putsOf(append(c.Step(now, session.MembersChanged{List: []session.Member{}}), c.Step(now, session.Tick{})...))
			must.SliceLen(t, 1, first)
			c.Step(now, session.PutResult{Token: first[0].Record.Token, Code: tc.outcome})

			late := now.Add(timing.CreateTimeout)
			acts := c.Step(late, session.Tick{})
			must.SliceLen(t, tc.puts, putsOf(acts))
			must.Eq(t, tc.puts == 0, c.State() == "lost")
		})
	}
}

func putsOf(acts []session.Action) []session.Put {
	var out []session.Put
	for _, a := range acts {
		if put, ok := a.(session.Put); ok {
			out = append(out, put)
		}
	}
	return out
}
