package load

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/result"
)

func testConfig() Config {
	return Config{
		Daemons: []string{"127.0.0.1:1"}, Seed: 7, RatePerSecond: 1000, ForMs: 10000, MaxInFlight: 10,
		Apps: []App{
			{Name: "keyed", Keys: 100, Zipf: 1.3, Weight: 3, NonIdempotent: 0.25, Urgent: 0.1, DeadlineMs: 500, BodyBytes: 3},
			{Name: "plain", Weight: 1, NonIdempotent: 1, DeadlineMs: 1000},
		},
	}
}

func TestPlanFollowsConfiguredMix(t *testing.T) {
	plan := Plan(testConfig(), "p")
	must.Eq(t, plan, Plan(testConfig(), "p"))
	counts := map[string]int{}
	popular := 0
	ids := map[string]bool{}
	last := time.Duration(0)
	for _, r := range plan {
		counts[r.App]++
		ids[r.ID] = true
		must.GreaterEq(t, last, r.At)
		last = r.At
		if r.App == "plain" {
			must.Eq(t, "", r.Key)
			must.False(t, r.Idempotent)
			continue
		}
		must.Eq(t, "bbb", string(r.Body))
		if !r.Idempotent {
			counts["keyed, not idempotent"]++
		}
		if r.Key == "k0" {
			popular++
		}
	}
	must.MapLen(t, len(plan), ids)
	must.Between(t, 9000, len(plan), 11000)
	must.Between(t, 3*counts["plain"]-600, counts["keyed"], 3*counts["plain"]+600)
	must.Between(t, 1500, counts["keyed, not idempotent"], 2300)
	must.Greater(t, counts["keyed"]/10, popular)
}

func TestReadConfigRejectsInvalidSettings(t *testing.T) {
	cases := map[string]string{
		`{"daemons":["127.0.0.1:1"],"apps":[{"name":"a","weight":1,"deadline_ms":1}],"rate_per_second":1,"for_ms":1,"max_in_flight":1}`: "",
		`{"daemons":[],"apps":[]}`:                   "daemons",
		`{"daemon":[]}`:                              `unknown field "daemon"`,
		`{"daemons":["127.0.0.1:1"],"apps":[]}`:      "apps",
		`{"daemons":["127.0.0.1:1"],"apps":[{}]}`:    "rate_per_second",
		`{"daemons":["127.0.0.1:1"],"seed":"seven"}`: "seed",
	}
	for text, want := range cases {
		path := filepath.Join(t.TempDir(), "load.json")
		must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		_, err := ReadConfig(path)
		if want == "" {
			must.NoError(t, err)
			continue
		}
		must.ErrorIs(t, err, &result.Error{Code: result.BadSettings})
		must.StrContains(t, err.Error(), want)
	}
}
