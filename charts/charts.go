// Package charts holds the system's state charts. Each is a JSON file in this
// folder; package statechart interprets it, and docs/CHARTS.md is generated
// from it.
package charts

import (
	"embed"
	"sort"
	"strings"

	"github.com/rhubarbring/rhubarbring/statechart"
)

//go:embed *.json
var files embed.FS

// MustLoad returns the chart in the file name.json. It panics if the chart is
// missing or invalid: charts are part of the program, and a test loads each.
func MustLoad(name string) *statechart.Chart {
	raw, err := files.ReadFile(name + ".json")
	if err != nil {
		panic(err)
	}
	c, err := statechart.Parse(raw)
	if err != nil {
		panic(err)
	}
	return c
}

// Names returns the names of all charts in alphabetical order.
func Names() []string {
	entries, err := files.ReadDir(".")
	if err != nil {
		panic(err)
	}
	var names []string
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".json"))
	}
	sort.Strings(names)
	return names
}

// Markdown returns the text of docs/CHARTS.md, generated from all charts.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# State charts\n\nWritten by `make docs` from the files in `charts/`; a test checks that both agree.\n")
	for _, name := range Names() {
		b.WriteString("\n" + MustLoad(name).Markdown())
	}
	return b.String()
}
