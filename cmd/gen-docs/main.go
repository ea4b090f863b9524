// Command gen-docs writes the reference tables in docs/ from the definitions in
// the code: result codes, log events, state charts and the document.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/rhubarbring/rhubarbring/charts"
	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/result"
)

const docsMode = 0o644

func main() {
	pages := map[string]string{
		"RESULT-CODES.md": resultCodes(),
		"LOG-EVENTS.md":   logEvents(),
		"CHARTS.md":       charts.Markdown(),
		"DOCUMENT.md":     document.ReferencePage(),
	}
	for name, text := range pages {
		if err := os.WriteFile(filepath.Join("docs", name), []byte(text), docsMode); err != nil {
			fmt.Fprintln(os.Stderr, "gen-docs:", err)
			os.Exit(1)
		}
	}
}

func resultCodes() string {
	var b strings.Builder
	b.WriteString("# Result codes\n\nWritten by `make docs` from package `result`; a test checks that both agree.\n\n")
	b.WriteString("| Code | Name | Outcome | HTTP | What to do |\n|---|---|---|---|---|\n")
	for _, i := range result.All() {
		fmt.Fprintf(&b, "| %d | %s | %s | %d | %s |\n", i.Code, i.Name, i.Outcome, i.HTTPStatus, i.Advice)
	}
	return b.String()
}

func logEvents() string {
	var b strings.Builder
	b.WriteString("# Log events\n\nWritten by `make docs` from package `event`; a test checks that both agree.\n")
	b.WriteString("Every line carries `ts`, `event` (number), `name`, `level` and `host`, and the fields named here.\n\n")
	b.WriteString("| Event | Name | Level | Fields | What it means |\n|---|---|---|---|---|\n")
	for _, d := range event.All() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s |\n", d.ID, d.Name, d.Level, d.Fields, d.Doc)
	}
	return b.String()
}
