package daemon

import (
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/internal/objectstore"
	"github.com/rhubarbring/rhubarbring/result"
	"github.com/rhubarbring/rhubarbring/spread"
)

// adoptContent passes a version of the document to the daemon's spread loop.
func adoptContent(t *testing.T, d *Daemon, version uint64, content string) {
	stored := document.Stored{Version: version, Hash: document.HashOf([]byte(content)), Content: content}
	raw, err := stored.Encode()
	must.NoError(t, err)
	must.NoError(t, d.spread.adoptDocument(spread.Object{Name: "trial", Version: version, Value: raw}, 0))
}

func TestRouteThatRefusedVersionMayHaveIsNotAnsweredAsUnknown(t *testing.T) {
	d := newRoutingPair(t, event.Info).entry
	raw, err := os.ReadFile("../../examples/rayuela.json")
	must.NoError(t, err)
	good := string(raw)
	_, err = d.Resolve("new.example", "/a/")
	must.Eq(t, result.UnknownRoute, objectstore.CodeOf(err))

	adoptContent(t, d, 2, strings.Replace(good, `"alarm"`, `"alarms"`, 1))
	_, err = d.Resolve("new.example", "/a/")
	must.Eq(t, result.NotConfigured, objectstore.CodeOf(err))
	_, err = d.AppLimits("new")
	must.Eq(t, result.NotConfigured, objectstore.CodeOf(err))

	adoptContent(t, d, 3, good)
	_, err = d.Resolve("new.example", "/a/")
	must.Eq(t, result.UnknownRoute, objectstore.CodeOf(err))

	d.fleet.document.Load().stored.Incomplete = true
	_, err = d.Resolve("new.example", "/a/")
	must.Eq(t, result.NotConfigured, objectstore.CodeOf(err))
}

func TestVersionThatArrivesAgainIsNotDecodedAgain(t *testing.T) {
	p := newRoutingPair(t, event.Info)
	raw, err := os.ReadFile("../../examples/rayuela.json")
	must.NoError(t, err)
	broken := strings.Replace(string(raw), `"alarm"`, `"alarms"`, 1)
	adoptContent(t, p.entry, 2, string(raw))
	adoptContent(t, p.entry, 2, broken)
	adoptContent(t, p.entry, 4, broken)
	adoptContent(t, p.entry, 4, broken)
	adoptContent(t, p.entry, 3, string(raw))
	must.Eq(t, 3, p.entry.fleet.document.Load().stored.Version)
	p.entry.log.Close()
	must.Eq(t, 1, strings.Count(p.logs[0].String(), "document_refused"))
}
