package event_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/event"
)

// The catalogue in the docs and the events of the package say the same.
func TestCatalogueMatchesEvents(t *testing.T) {
	raw, err := os.ReadFile("../docs/LOG-EVENTS.md")
	must.NoError(t, err)
	var rows []string
	for line := range strings.Lines(string(raw)) {
		line = strings.TrimSpace(line)
		if len(line) > 2 && line[0] == '|' && line[2] >= '0' && line[2] <= '9' {
			rows = append(rows, line)
		}
	}
	var want []string
	names := map[string]bool{}
	for _, d := range event.All() {
		must.False(t, names[d.Name], must.Sprintf("two events are named %q", d.Name))
		names[d.Name] = true
		want = append(want, fmt.Sprintf("| %d | %s | %s | %s | %s |", d.ID, d.Name, d.Level, d.Fields, d.Doc))
	}
	must.Eq(t, want, rows)
}
