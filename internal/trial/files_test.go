package trial_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/internal/load"
	"github.com/rhubarbring/rhubarbring/internal/settings"
	"github.com/rhubarbring/rhubarbring/internal/trial"
)

func options(t *testing.T, layout string) trial.Options {
	return trial.Options{
		Layout: layout, Seed: 7, BasePort: 20000, Dir: t.TempDir(), BinDir: "bin", RatePerSecond: 100, LoadMs: 1000,
	}
}

// The daemon and the load tool accept the settings written for each layout, and
// all addresses of the daemons differ.
func TestWrittenSettingsAreAccepted(t *testing.T) {
	for layout, targets := range map[string]int{"rayuela": 15, "kalderimi": 13} {
		o := options(t, layout)
		must.NoError(t, trial.WriteFiles(o))
		files, err := filepath.Glob(filepath.Join(o.Dir, "h*[0-9].json"))
		must.NoError(t, err)
		must.Len(t, targets, files)
		addresses := map[string]bool{}
		for _, file := range files {
			d, err := settings.Load(file)
			must.NoError(t, err)
			must.Eq(t, trial.Environment, d.Environment)
			for _, a := range []string{d.PeerAddress, d.ControlAddress, d.CallerAddress} {
				addresses[a] = true
			}
		}
		must.MapLen(t, 3*targets, addresses)
		c, err := load.ReadConfig(filepath.Join(o.Dir, "load.json"))
		must.NoError(t, err)
		must.Len(t, targets, c.Daemons)
		raw, err := os.ReadFile(filepath.Join(o.Dir, "launch.tsv"))
		must.NoError(t, err)
		must.Eq(t, 1+2*targets, strings.Count(string(raw), "\n"))
	}
}

// A layout and the example document of the same name agree on the availability
// zones, the apps, which apps are divided by key and which check grants. The
// deadlines of the load are within the maximum of the document.
func TestLayoutsMatchExampleDocuments(t *testing.T) {
	for _, name := range []string{"rayuela", "kalderimi"} {
		l, err := trial.LayoutByName(name)
		must.NoError(t, err)
		raw, err := os.ReadFile(filepath.Join("..", "..", "examples", name+".json"))
		must.NoError(t, err)
		doc, problems := document.Parse(raw)
		must.NoError(t, problems.Err())
		zones := map[string]string{}
		for _, r := range doc.Regions {
			for _, z := range r.Zones {
				zones[string(z)] = string(r.Name)
			}
		}
		must.Eq(t, zones, l.Region)
		apps := map[string]document.App{}
		for _, a := range doc.Apps {
			apps[string(a.Name)] = a
		}
		must.MapLen(t, len(l.Apps), apps)
		for _, a := range l.Apps {
			app := apps[a.Traffic.Name]
			must.Eq(t, app.DividedByKey, a.Traffic.Keys > 0)
			must.Eq(t, app.TargetsCheckGrants, a.ChecksGrants)
			must.LessEq(t, time.Duration(app.Deadline.Maximum).Milliseconds(), a.Traffic.DeadlineMs)
		}
	}
}

func TestWriteFilesRejectsBadOptions(t *testing.T) {
	o := options(t, "nobody")
	must.ErrorContains(t, trial.WriteFiles(o), "layout")
	o = options(t, "rayuela")
	o.BasePort = 80
	must.ErrorContains(t, trial.WriteFiles(o), "base-port")
}
