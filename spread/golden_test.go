package spread

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var update = flag.Bool("update", false, "write the golden files anew")

// TestGoldenSession compares all actions of a zone of three daemons with the
// golden file: start, a document, and the restart of a daemon while the store
// is down.
func TestGoldenSession(t *testing.T) {
	f := newFleet(1, 1, 3)
	var log strings.Builder
	f.trace = func(n *node, text string) {
		fmt.Fprintf(&log, "%7d ms %s: %s\n", f.now.Sub(0).Milliseconds(), n.session, text)
	}
	f.run(2500 * time.Millisecond)
	f.store.write(testDocument, false)
	f.run(1500 * time.Millisecond)
	f.store.setDown(true)
	f.restart(f.nodes[2], time.Second)
	f.run(2500 * time.Millisecond)
	if *update {
		must.NoError(t, os.MkdirAll("testdata", 0o755))
		must.NoError(t, os.WriteFile("testdata/session.txt", []byte(log.String()), 0o644))
	}
	want, err := os.ReadFile("testdata/session.txt")
	must.NoError(t, err)
	must.Eq(t, string(want), log.String())
}

// describe returns an action in one line.
func describe(a Action) string {
	switch a := a.(type) {
	case Send:
		return fmt.Sprintf("to %s: %s", a.To, describeMessage(a.Message))
	case Adopt:
		return fmt.Sprintf("put %s/%s version %d in force", a.Key.Kind, a.Key.Name, a.Object.Version)
	case Watch:
		return fmt.Sprintf("watch %s after %d", a.Kind, a.Revision)
	case List:
		return fmt.Sprintf("list %s after %q", a.Kind, a.After)
	case CaughtUp:
		return "ready"
	}
	return fmt.Sprintf("%T", a)
}

func describeMessage(m Message) string {
	switch m := m.(type) {
	case *Digest:
		return fmt.Sprintf("have %v ready=%v child=%v relay=%v hosts=%d in_force=%d", m.Revisions, m.CaughtUp, m.Child, m.Relay, m.Hosts, m.InForce)
	case *ChangesRequest:
		return fmt.Sprintf("ask kind %d after %d", m.Kind, m.After)
	case *Objects:
		return fmt.Sprintf("objects kind %d after %d up to %d: %d", m.Kind, m.After, m.UpTo, len(m.Items))
	}
	return ""
}
