package targetstatus_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/targetstatus"
)

// The latest report of each instance is kept, and the oldest instance forgotten.
func TestMemoryKeepsLatestInstances(t *testing.T) {
	var m targetstatus.Memory
	m.Keep(targetstatus.Report{Instance: 0, Leaving: true})
	must.SliceEmpty(t, m.Reports())
	for instance := range uint64(5) {
		m.Keep(targetstatus.Report{Instance: instance + 1, RateLimit: 3})
	}
	m.Keep(targetstatus.Report{Instance: 3, Leaving: true})
	must.Eq(t, []targetstatus.Report{{Instance: 2, RateLimit: 3}, {Instance: 4, RateLimit: 3}, {Instance: 5, RateLimit: 3}, {Instance: 3, Leaving: true}}, m.Reports())
}
