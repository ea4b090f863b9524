package main

import (
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/internal/settings"
	"github.com/rhubarbring/rhubarbring/result"
)

const root = "../.."

var (
	pageLink        = regexp.MustCompile(`\]\(([^)#:]+\.md)\)`)
	namedID         = regexp.MustCompile("`([a-z_]+)`\\s+\\(([0-9]{4})\\)")
	parenthesizedID = regexp.MustCompile("\\(`([a-z_]+)`,\\s+([0-9]{4})\\)")
	tableName       = regexp.MustCompile("(?m)^\\| `([a-z_.]+)` \\|")
)

// pages returns the text of each Markdown page by its path from the root.
func pages(t *testing.T) map[string]string {
	out := make(map[string]string)
	for _, pattern := range []string{"*.md", "docs/*.md", "docs/*/*.md"} {
		paths, err := filepath.Glob(filepath.Join(root, pattern))
		must.NoError(t, err)
		for _, path := range paths {
			raw, err := os.ReadFile(path)
			must.NoError(t, err)
			name, err := filepath.Rel(root, path)
			must.NoError(t, err)
			out[name] = string(raw)
		}
	}
	must.MapContainsKeys(t, out, []string{"README.md", "docs/README.md"})
	return out
}

// Every link between pages leads to an existing page, and every page is linked
// from another page or named in the README.
func TestPagesAreLinked(t *testing.T) {
	all := pages(t)
	linked := map[string]bool{"README.md": true}
	for from, text := range all {
		for _, m := range pageLink.FindAllStringSubmatch(text, -1) {
			to := filepath.Join(filepath.Dir(from), m[1])
			must.MapContainsKey(t, all, to, must.Sprintf("%s links to %s", from, m[1]))
			linked[to] = linked[to] || to != from
		}
	}
	for name := range all {
		named := linked[name] || strings.Contains(all["README.md"], name)
		must.True(t, named, must.Sprintf("no page links to %s", name))
	}
}

// A number that a page gives beside the name of a log event is the one that
// package event defines.
func TestEventNumbersOnPagesMatchPackageEvent(t *testing.T) {
	found := 0
	for name, text := range pages(t) {
		matches := append(namedID.FindAllStringSubmatch(text, -1), parenthesizedID.FindAllStringSubmatch(text, -1)...)
		for _, m := range matches {
			id, err := strconv.ParseUint(m[2], 10, 16)
			must.NoError(t, err)
			def, ok := event.Lookup(event.ID(id))
			must.True(t, ok, must.Sprintf("%s names event %s, which does not exist", name, m[2]))
			must.Eq(t, def.Name, m[1], must.Sprintf("%s names event %d", name, id))
			found++
		}
	}
	must.Positive(t, found)
}

// The settings page lists exactly the fields that a daemon reads.
func TestSettingsPageListsEveryField(t *testing.T) {
	var listed []string
	for _, m := range tableName.FindAllStringSubmatch(pages(t)["docs/SETTINGS.md"], -1) {
		listed = append(listed, m[1])
	}
	must.SliceContainsAll(t, listed, jsonFields(reflect.TypeFor[settings.Daemon](), ""))
}

var (
	metricName  = regexp.MustCompile("`rhubarb_([a-z_]+?)(?:_RESULT)?`")
	ringName    = regexp.MustCompile(`^ring_([a-z]+)_refused$`)
	loggedName  = regexp.MustCompile("`([a-z]+_[a-z_]+)`")
	quotedName  = regexp.MustCompile(`"([a-z]+[a-z_.]*)"`)
	resultNames = regexp.MustCompile(`(?m)^\| ([a-z_, ]+) \| (yes|unknown) \|`)
)

// Everything that the operations page names exists in the code: metrics, log
// events and their fields, and results, of which the page says correctly
// whether the request certainly did not run.
func TestNamesOnOperationsPageExist(t *testing.T) {
	page := pages(t)["docs/OPERATIONS.md"]
	known := quotedNames(t)
	for _, m := range metricName.FindAllStringSubmatch(page, -1) {
		name := m[1]
		if ring := ringName.FindStringSubmatch(name); ring != nil {
			name = ring[1] // The metrics of a ring carry its name.
		}
		must.MapContainsKey(t, known, name, must.Sprint("metric"))
	}
	events := make(map[string]bool)
	for _, def := range event.All() {
		events[def.Name] = true
		for _, field := range strings.Fields(def.Fields) {
			events[field] = true
		}
	}
	for _, m := range loggedName.FindAllStringSubmatch(page, -1) {
		exists := events[m[1]] || known[m[1]] || strings.HasPrefix(m[1], "rhubarb_")
		must.True(t, exists, must.Sprintf("%s is no event and no field", m[1]))
	}
	notRun := make(map[string]bool)
	for _, def := range result.All() {
		notRun[def.Name] = def.Outcome == result.NotRun
	}
	rows := resultNames.FindAllStringSubmatch(page, -1)
	must.Positive(t, len(rows))
	for _, row := range rows {
		for _, name := range strings.Split(row[1], ", ") {
			must.MapContainsKey(t, notRun, name)
			must.Eq(t, notRun[name], row[2] == "yes", must.Sprint(name))
		}
	}
}

// quotedNames returns the lower-case names in string literals of the non-test
// code under internal/, with underscores for dots.
func quotedNames(t *testing.T) map[string]bool {
	out := make(map[string]bool)
	err := filepath.WalkDir(filepath.Join(root, "internal"), func(path string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		raw, err := os.ReadFile(path)
		for _, m := range quotedName.FindAllStringSubmatch(string(raw), -1) {
			out[strings.Trim(strings.ReplaceAll(m[1], ".", "_"), "_")] = true
		}
		return err
	})
	must.NoError(t, err)
	return out
}

// jsonFields returns the JSON names of a struct's fields and, after a dot,
// those of nested structs.
func jsonFields(typ reflect.Type, prefix string) []string {
	var out []string
	for i := range typ.NumField() {
		field := typ.Field(i)
		name := prefix + field.Tag.Get("json")
		out = append(out, name)
		if field.Type.Kind() == reflect.Struct {
			out = append(out, jsonFields(field.Type, name+".")...)
		}
	}
	return out
}
