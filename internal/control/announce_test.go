package control

import (
	"errors"
	"math"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/result"
)

// Guards against a target whose announced slots or connections exceed what messages
// between daemons hold: 65,536 slots would be none there.
func TestAnnouncementOutOfRangeIsRefused(t *testing.T) {
	valid := Announcement{App: "one", Address: "127.0.0.1:1", Slots: MaxSlots, Connections: MaxSlots, State: StateWarm}
	must.NoError(t, valid.validate())
	for _, wrong := range [][2]int{{0, 5}, {-1, 5}, {6, 5}, {1, MaxSlots + 1}, {math.MaxInt, math.MaxInt}} {
		a := valid
		a.Slots, a.Connections = wrong[0], wrong[1]
		var err *result.Error
		must.True(t, errors.As(a.validate(), &err), must.Sprint(wrong))
		must.Eq(t, result.BadRequest, err.Code)
	}
}
