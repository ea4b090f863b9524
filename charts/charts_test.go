package charts_test

import (
	"os"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/charts"
)

// Every chart loads, and the drawings in the docs come from the same files.
func TestDrawingsMatchCharts(t *testing.T) {
	raw, err := os.ReadFile("../docs/CHARTS.md")
	must.NoError(t, err)
	must.Eq(t, charts.Page(), string(raw))
}
