package event_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/internal/doctest"
)

// The catalogue in docs/LOG-EVENTS.md must match the events of the package.
func TestCatalogueMatchesEvents(t *testing.T) {
	rows := doctest.NumberedRows(t, "../docs/LOG-EVENTS.md")
	var want []string
	names := map[string]bool{}
	for _, d := range event.All() {
		must.False(t, names[d.Name], must.Sprintf("two events are named %q", d.Name))
		names[d.Name] = true
		want = append(want, fmt.Sprintf("| %d | %s | %s | %s | %s |", d.ID, d.Name, d.Level, d.Fields, d.Doc))
	}
	must.Eq(t, want, rows)
}

// Every event must be logged somewhere in the code. Otherwise the catalogue would
// have operators look for an event that never occurs.
func TestEachEventIsLogged(t *testing.T) {
	var code strings.Builder
	for _, dir := range []string{"../internal/daemon", "../internal/eventlog", "../session", "../takeover", "../cmd/rhubarb-sidecar"} {
		entries, err := os.ReadDir(dir)
		must.NoError(t, err)
		for _, e := range entries {
			if !strings.HasSuffix(e.Name(), ".go") || strings.HasSuffix(e.Name(), "_test.go") {
				continue
			}
			raw, err := os.ReadFile(dir + "/" + e.Name())
			must.NoError(t, err)
			code.Write(raw)
		}
	}
	for _, d := range event.All() {
		must.StrContains(t, code.String(), "event."+identifier(d.Name), must.Sprint(d.Name))
	}
}

// identifier returns the Go name of an event: "ring_full" is RingFull.
func identifier(name string) string {
	var b strings.Builder
	for part := range strings.SplitSeq(name, "_") {
		b.WriteString(strings.ToUpper(part[:1]) + part[1:])
	}
	return b.String()
}
