// Package report draws a trial on one page: latency, imbalance, owner changes
// and unavailable slices over time, with the windows of faults shaded.
package report

import (
	"bytes"
	"encoding/base64"
	"html/template"
	"io"

	"github.com/rhubarbring/rhubarbring/internal/judge"
)

// Page holds what a report shows.
type Page struct {
	Title    string
	Verdict  judge.Verdict
	Timeline judge.Timeline
}

// pageData is a Page with its plots as a data URL. Templates read its fields by
// name.
type pageData struct {
	Page
	Image template.URL
}

var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font-family:sans-serif;max-width:62em;margin:2em auto}table{border-collapse:collapse}
td,th{padding:.2em .8em;text-align:left;border-bottom:1px solid #ccc}img{width:100%}pre{white-space:pre-wrap}</style></head>
<body><h1>{{.Title}}</h1>
<pre>{{.Verdict}}</pre>
{{if .Verdict.Problems}}<ul>{{range .Verdict.Problems}}<li>{{.}}</li>{{end}}</ul>{{end}}
<table><tr><th>Figure</th><th>Value</th></tr>
<tr><td>requests done</td><td>{{.Verdict.Done}} of {{.Verdict.Requests}}</td></tr>
<tr><td>outcomes at risk reported to callers (kept in the store)</td><td>{{.Verdict.AtRisk.Reported}} ({{.Verdict.AtRisk.Kept}})</td></tr>
{{range .Verdict.Balances}}<tr><td>imbalance of {{.App}}, outside the faults' windows</td><td>{{printf "%.2f" .Imbalance}}</td></tr>
{{end}}<tr><td>owner changes (forced by faults)</td><td>{{.Verdict.OwnerChanges.Total}} ({{.Verdict.OwnerChanges.Forced}})</td></tr>
{{range .Verdict.Gaps}}<tr><td>longest gap after {{.Fault.Kind}}</td><td>{{.Gap.Length}} ({{.Gap.Slice}})</td></tr>
{{end}}</table>
<img alt="latency, imbalance, changes of owners and unavailable slices over time" src="{{.Image}}">
<p>From the records of callers and targets and the outcomes kept in the store; docs/TRIAL.md defines the figures. Shaded: planned stop, kill, store outage.</p>
</body></html>
`))

// WriteHTML writes the page as a single HTML file with the plots embedded.
func WriteHTML(w io.Writer, p Page) error {
	var image bytes.Buffer
	if err := WritePNG(&image, p.Timeline); err != nil {
		return err
	}
	url := "data:image/png;base64," + base64.StdEncoding.EncodeToString(image.Bytes())
	return pageTemplate.Execute(w, pageData{Page: p, Image: template.URL(url)})
}
