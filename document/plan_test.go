package document_test

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/result"
)

func editedExample(t *testing.T, pairs ...string) *document.Document {
	t.Helper()
	return mustParse(t, []byte(strings.NewReplacer(pairs...).Replace(string(example(t, "rayuela")))))
}

func fleet() document.Fleet {
	return document.Fleet{Hosts: []document.FleetHost{
		{Host: "h1", Place: host.Place{Region: "pampa-norte", Zone: "pampa-norte-1"}, App: "catalogue", Slices: 128},
		{Host: "h2", Place: host.Place{Region: "patagonia-sur", Zone: "patagonia-sur-2"}, App: "catalogue", Slices: 128},
		{Host: "h3", Place: host.Place{Region: "pampa-norte", Zone: "pampa-norte-2"}, App: "payments", ChecksGrants: true},
	}}
}

// The plans of a first document, of a change of many fields and of no change
// match the golden files.
func TestPlansMatchGoldenFiles(t *testing.T) {
	now := editedExample(t)
	next := editedExample(t,
		`"patagonia-sur-2"`, `"patagonia-sur-3"`,
		`"name": "payments"`, `"name": "deposits"`,
		`"maximum": "2s"`, `"maximum": "1s"`,
		`"imbalance": 6`, `"imbalance": 2`,
		`"queue_bound": 24`, `"queue_bound": 12`,
		`"targets_check_grants": false`, `"targets_check_grants": true`,
		`"request_share": 0.5`, `"request_share": 0.4`,
		`"unowned_key": "5s"`, `"unowned_key": "4s"`,
		`"share": 0.1`, `"share": 0.2`)
	var text strings.Builder
	for _, p := range []document.Plan{
		document.NewPlan(nil, now, fleet()),
		document.NewPlan(now, next, fleet()),
		document.NewPlan(now, now, fleet()),
	} {
		p.Environment, p.From, p.To = "rayuela", document.HashOf([]byte("old")), document.HashOf([]byte("new"))
		text.WriteString(p.Text() + "\n")
	}
	golden(t, "plans.txt", text.String())
	raw, err := json.MarshalIndent(document.NewPlan(now, next, fleet()), "", "  ")
	must.NoError(t, err)
	golden(t, "plan.json", string(raw)+"\n")
}

// A change of divided_by_key or slices is refused, as it would change the slice
// of a key in a running fleet.
func TestPlanRefusesChangedSlices(t *testing.T) {
	now := editedExample(t)
	p := document.NewPlan(now, editedExample(t, `"slices": 256`, `"slices": 512`), fleet())
	must.Len(t, 2, p.Problems)
	must.Eq(t, "apps[0].slices", p.Problems[0].Field)
	p = document.NewPlan(now, editedExample(t, "\"divided_by_key\": true,\n      \"slices\": 256", `"divided_by_key": false`, `"hot_keys": {
        "share": 0.1,
        "expiry": "5m",
        "maximum": 32
      },`, ""), fleet())
	must.Len(t, 2, p.Problems)
	must.StrContains(t, p.Text(), "impossible: apps[0].divided_by_key")
}

func TestPromoteRequiresDocumentInForceInTrial(t *testing.T) {
	raw := example(t, "rayuela")
	doc := mustParse(t, raw)
	hash := document.HashOf(raw)
	stored := &document.Stored{Version: 7, Hash: hash, Content: string(raw), Who: "ana", When: time.Unix(1, 0)}
	inForce := document.InForce{Version: 7, Hash: hash, Hosts: 3}
	older := document.InForce{Version: 6, Hash: "x", Hosts: 3}
	zones := func(a, b document.InForce) map[host.Zone]document.InForce {
		return map[host.Zone]document.InForce{"pampa-norte-1": a, "patagonia-sur-1": b, "elsewhere": older}
	}
	cases := []struct {
		name  string
		trial document.TrialState
		want  result.Code
	}{
		{"in force", document.TrialState{Environment: "trial", Stored: stored, Zones: zones(inForce, inForce)}, result.OK},
		{"another trial", document.TrialState{Environment: "other", Stored: stored, Zones: zones(inForce, inForce)}, result.NotTried},
		{"never applied", document.TrialState{Environment: "trial"}, result.NotTried},
		{"other bytes", document.TrialState{Environment: "trial", Stored: &document.Stored{Hash: "y"}, Zones: zones(inForce, inForce)}, result.HashMismatch},
		{"older version in one zone", document.TrialState{Environment: "trial", Stored: stored, Zones: zones(inForce, older)}, result.NotTried},
		{"unresponsive daemon", document.TrialState{Environment: "trial", Stored: stored, Zones: zones(inForce, inForce), Unresponsive: []host.ID{"h9"}}, result.NotTried},
		{"no daemon", document.TrialState{Environment: "trial", Stored: stored}, result.NotTried},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			evidence, err := document.Promote(hash, doc, c.trial)
			if c.want == result.OK {
				must.NoError(t, err)
				must.Eq(t, &document.Evidence{Environment: "trial", Version: 7, Hash: hash, Hosts: 6}, evidence)
				return
			}
			must.ErrorIs(t, err, &result.Error{Code: c.want})
		})
	}
}

// The stored bytes are exactly the operator's, and a value that doesn't match
// its hash is refused.
func TestStoredKeepsBytesAndRefusesOtherContent(t *testing.T) {
	raw := example(t, "kalderimi")
	s := &document.Stored{Version: 1, Hash: document.HashOf(raw), Content: string(raw), Token: "t"}
	value, err := s.Encode()
	must.NoError(t, err)
	back, err := document.DecodeStored(value)
	must.NoError(t, err)
	must.Eq(t, string(raw), back.Content)
	_, err = back.Document()
	must.NoError(t, err)
	s.Content = string(raw[1:])
	value, err = s.Encode()
	must.NoError(t, err)
	_, err = document.DecodeStored(value)
	must.ErrorIs(t, err, &result.Error{Code: result.HashMismatch})
}

func TestStoredDocumentThatDaemonsCannotUseIsRefused(t *testing.T) {
	doc := mustParse(t, example(t, "rayuela"))
	route := document.Route{Name: "r", Host: "h.example", PathPrefix: "/a/", Timeout: document.Duration(time.Second), MaxAttempts: 1, Split: []document.WeightedApp{{App: doc.Apps[0].Name, Weight: 1}}}
	contentWith := func(change func(*document.Route)) string {
		changed, r := *doc, route
		r.Split = slices.Clone(route.Split)
		change(&r)
		changed.Routes = []document.Route{r}
		raw, err := json.Marshal(&changed)
		must.NoError(t, err)
		return string(raw)
	}
	good := contentWith(func(*document.Route) {})
	cases := []struct{ name, content, want string }{
		{"good", good, ""},
		{"field of a newer version", strings.Replace(good, `"alarm"`, `"alert":1,"alarm"`, 1), "unknown field"},
		{"two documents", good + good, "something follows"},
		{"queue bound", strings.Replace(good, `"queue_bound":`, `"queue_bound":-`, 1), "it is below 0"},
		{"slices", strings.Replace(good, `"slices":`, `"slices":9999`, 1), "it is above 1048576"},
		{"link", strings.Replace(good, `"bits_per_second":`, `"bits_per_second":-`, 1), "it is not above 0"},
		{"retry budget", strings.Replace(good, `"retry_budget":`, `"retry_budget":7`, 1), "it is not from 0 to 1"},
		{"no app", contentWith(func(r *document.Route) { r.Split = nil }), "it lists no app"},
		{"unknown app", contentWith(func(r *document.Route) { r.Split[0].App = "other" }), "no app has this name"},
		{"weight", contentWith(func(r *document.Route) { r.Split[0].Weight = 0 }), "it is below 1"},
		{"timeout", contentWith(func(r *document.Route) { r.Timeout = 0 }), "it is shorter than"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := (&document.Stored{Content: c.content}).Document()
			if c.want == "" {
				must.NoError(t, err)
				return
			}
			must.ErrorIs(t, err, &result.Error{Code: result.BadDocument})
			must.ErrorContains(t, err, c.want)
		})
	}
}
