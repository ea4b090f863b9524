package document_test

import (
	"encoding/json"
	"errors"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/result"
)

var update = flag.Bool("update", false, "write the golden files anew")

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func example(t *testing.T, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile("../examples/" + name + ".json")
	must.NoError(t, err)
	return raw
}

func mustParse(t *testing.T, raw []byte) *document.Document {
	t.Helper()
	doc, problems := document.Parse(raw)
	must.NoError(t, problems.Err())
	return doc
}

// golden compares text with a file in testdata.
func golden(t *testing.T, name, text string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		must.NoError(t, os.MkdirAll("testdata", 0o755))
		must.NoError(t, os.WriteFile(path, []byte(text), 0o644))
	}
	want, err := os.ReadFile(path)
	must.NoError(t, err)
	must.Eq(t, string(want), text)
}

func TestExampleDocumentsParse(t *testing.T) {
	rayuela := mustParse(t, example(t, "rayuela"))
	kalderimi := mustParse(t, example(t, "kalderimi"))

	app, ok := rayuela.App("catalogue")
	must.True(t, ok)
	must.True(t, app.DividedByKey)
	must.Eq(t, 250*time.Millisecond, app.Deadline.Default.Std())
	must.Greater(t, app.Weights.Unavailable, app.Weights.Imbalance)
	app, ok = kalderimi.App("booking")
	must.True(t, ok)
	must.True(t, app.DividedByKey)
	must.Greater(t, app.Weights.Imbalance, app.Weights.Unavailable)
	_, ok = kalderimi.App("catalogue")
	must.False(t, ok)

	must.True(t, rayuela.HasPlace(host.Place{Region: "pampa-norte", Zone: "pampa-norte-1"}))
	must.False(t, rayuela.HasPlace(host.Place{Region: "patagonia-sur", Zone: "pampa-norte-1"}))
	link, ok := rayuela.Link("patagonia-sur", "pampa-norte")
	must.True(t, ok)
	must.Eq(t, 30_000_000, link.BitsPerSecond)
	must.Eq(t, document.Duration(5*time.Second), rayuela.MaxDeadlines()["reservation"])
	must.True(t, rayuela.AllowedIn("trial"))
	must.False(t, rayuela.AllowedIn("elsewhere"))
}

// All problems of a document are reported at once, with field, value, reason
// and remedy.
func TestParseReportsAllProblemsAtOnce(t *testing.T) {
	raw, err := os.ReadFile("testdata/faulty.json")
	must.NoError(t, err)
	doc, problems := document.Parse(raw)
	must.Nil(t, doc)
	golden(t, "faulty.txt", problems.Error()+"\n")
	must.True(t, errors.Is(problems.Err(), &result.Error{Code: result.BadDocument}))
	for _, p := range problems {
		must.NotEq(t, "", p.Field)
		must.NotEq(t, "", p.Reason)
		must.NotEq(t, "", p.Remedy)
	}
}

func TestParseRefusesUnreadableDocuments(t *testing.T) {
	cases := []struct{ name, raw, want string }{
		{"empty", "", "not JSON at line 1"},
		{"syntax", "{\n  \"apps\": [,]\n}", "not JSON at line 2"},
		{"truncated", `{"apps": [`, "not JSON"},
		{"duplicate field", `{"trial": "a", "trial": "b"}`, "trial: the field stands there twice"},
		{"second object", `{} {}`, "something follows"},
		{"null", `null`, "it is of type null, not object"},
		{"too large", strings.Repeat(" ", document.MaxBytes+1), "exceed the limit"},
		{"exponent", strings.Replace(string(mustExample("rayuela")), `"queue_bound": 24`, `"queue_bound": 2.4e1`, 1), "without a fraction or exponent"},
		{"not UTF-8", "{\"environment\": \"\xff\"}", "not valid UTF-8"},
		{"text after object", `{"environment":"a"} x`, "something follows"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			doc, problems := document.Parse([]byte(c.raw))
			must.Nil(t, doc)
			must.ErrorContains(t, problems.Err(), c.want)
		})
	}
}

func mustExample(name string) []byte {
	raw, err := os.ReadFile("../examples/" + name + ".json")
	if err != nil {
		panic(err)
	}
	return raw
}

// Whatever the value of one field, Parse doesn't panic, and reports problems
// only in that field or in fields that a check relates to it.
func TestParseReportsOnlyTheChangedField(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tree map[string]any
		if err := json.Unmarshal(mustExample("kalderimi"), &tree); err != nil {
			t.Fatal(err)
		}
		field := rapid.SampledFrom([]string{"environment", "trial", "regions", "links", "apps", "alarm"}).Draw(t, "field")
		value := rapid.SampledFrom([]string{"null", "0", "-1", "1e300", `""`, `"x"`, "[]", "[null]", "[{}]", "{}", `{"a":1}`, "true", `"9h9h"`}).Draw(t, "value")
		tree[field] = json.RawMessage(value)
		raw, err := json.Marshal(tree)
		if err != nil {
			t.Fatal(err)
		}
		doc, problems := document.Parse(raw)
		if (doc == nil) == (len(problems) == 0) {
			t.Fatalf("document %v with problems %v", doc, problems)
		}
		for _, p := range problems {
			related := field == "regions" || field == "trial" || field == "environment"
			if !strings.HasPrefix(p.Field, field) && !related {
				t.Fatalf("changing field %s to %s reported a problem in another field: %s", field, value, p)
			}
		}
	})
}

func TestHashCoversExactBytes(t *testing.T) {
	must.Eq(t, "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad", document.HashOf([]byte("abc")))
	must.Eq(t, "ba7816bf8f01", document.HashOf([]byte("abc")).Short())
	must.NotEq(t, document.HashOf([]byte("{}")), document.HashOf([]byte("{ }")))
}
