package charts_test

import (
	"os"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/charts"
)

// Every chart loads, and docs/CHARTS.md is up to date with the charts.
func TestGeneratedPageMatchesCharts(t *testing.T) {
	raw, err := os.ReadFile("../docs/CHARTS.md")
	must.NoError(t, err)
	must.Eq(t, charts.Markdown(), string(raw))
}
