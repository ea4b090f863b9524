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
)

const root = "../.."

var (
	link      = regexp.MustCompile(`\]\(([^)#:]+\.md)\)`)
	namedID   = regexp.MustCompile("`([a-z_]+)`\\s+\\(([0-9]{4})\\)")
	namedID2  = regexp.MustCompile("\\(`([a-z_]+)`,\\s+([0-9]{4})\\)")
	tableName = regexp.MustCompile("(?m)^\\| `([a-z_.]+)` \\|")
)

// pages returns the text of each page by its path from the root.
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

// Every link between pages leads to a page, and every page is named by the
// README or by a link of another page.
func TestPagesAreLinked(t *testing.T) {
	all := pages(t)
	linked := map[string]bool{"README.md": true}
	for from, text := range all {
		for _, m := range link.FindAllStringSubmatch(text, -1) {
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

// Numbers beside the names of log events are those of package event.
func TestEventNumbersOnPages(t *testing.T) {
	found := 0
	for name, text := range pages(t) {
		matches := append(namedID.FindAllStringSubmatch(text, -1), namedID2.FindAllStringSubmatch(text, -1)...)
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

// The page of settings lists the fields that a daemon reads, and no others.
func TestSettingsPageListsEveryField(t *testing.T) {
	var listed []string
	for _, m := range tableName.FindAllStringSubmatch(pages(t)["docs/SETTINGS.md"], -1) {
		listed = append(listed, m[1])
	}
	must.SliceContainsAll(t, listed, fields(reflect.TypeFor[settings.Daemon](), ""))
}

// fields returns the JSON names of a struct's fields and, after a dot, those
// of the structs in it.
func fields(of reflect.Type, prefix string) []string {
	var out []string
	for i := range of.NumField() {
		field := of.Field(i)
		name := prefix + field.Tag.Get("json")
		out = append(out, name)
		if field.Type.Kind() == reflect.Struct {
			out = append(out, fields(field.Type, name+".")...)
		}
	}
	return out
}
