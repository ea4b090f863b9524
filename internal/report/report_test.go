package report_test

import (
	"bytes"
	"image/png"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/internal/judge"
	"github.com/rhubarbring/rhubarbring/internal/report"
)

func testPage() report.Page {
	step := judge.Step{P50: time.Millisecond, P99: 2 * time.Millisecond, Requests: 3, Failed: 1, Imbalance: []float64{1.5}, Changes: 2}
	return report.Page{
		Title:   "A <trial>",
		Verdict: judge.Verdict{Requests: 7, Problems: []string{"1 requests lost"}},
		Timeline: judge.Timeline{
			Step: time.Second, Apps: []string{"booking"}, Steps: []judge.Step{step, {}, step},
			Faults: []judge.FaultWindow{{Kind: judge.Kill, Begin: time.Second, End: time.Second}},
		},
	}
}

func TestWritePNGShadesFaultWindows(t *testing.T) {
	var with, without bytes.Buffer
	p := testPage()
	must.NoError(t, report.WritePNG(&with, p.Timeline))
	p.Timeline.Faults = nil
	must.NoError(t, report.WritePNG(&without, p.Timeline))
	must.NotEq(t, with.Bytes(), without.Bytes())
	image, err := png.Decode(&with)
	must.NoError(t, err)
	must.Greater(t, image.Bounds().Dx(), image.Bounds().Dy())
}

func TestWriteHTMLEmbedsVerdictAndPlots(t *testing.T) {
	var out bytes.Buffer
	must.NoError(t, report.WriteHTML(&out, testPage()))
	for _, want := range []string{"A &lt;trial&gt;", "trial: FAILED requests=7", "<li>1 requests lost</li>", `src="data:image/png;base64,iVBOR`} {
		must.StrContains(t, out.String(), want)
	}
}

func TestWritePNGDrawsEmptyTimeline(t *testing.T) {
	must.NoError(t, report.WritePNG(&bytes.Buffer{}, judge.Timeline{Step: time.Second}))
}
