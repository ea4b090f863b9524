package report

import (
	"image/color"
	"io"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"

	"github.com/rhubarbring/rhubarbring/internal/judge"
)

const (
	pageWidth  = 20 * vg.Centimeter
	pageHeight = 26 * vg.Centimeter
	padding    = 0.4 * vg.Centimeter
	lineWidth  = 1.2
	legendGap  = 0.15 * vg.Centimeter
	// headroom scales the y axis to leave space for the legend.
	headroom = 1.25
	// minWindow keeps the window of a fault without duration visible.
	minWindow = 150 * time.Millisecond
)

var windowColors = map[judge.FaultKind]color.Color{
	judge.PlannedStop: color.NRGBA{R: 70, G: 130, B: 220, A: 60},
	judge.Kill:        color.NRGBA{R: 220, G: 50, B: 50, A: 90},
	judge.StoreOutage: color.NRGBA{R: 230, G: 170, B: 30, A: 60},
}

// line is a named line of a plot.
type line struct {
	name   string
	points plotter.XYs
}

// WritePNG draws the plots of latency, imbalance, owner changes and
// unavailability below each other.
func WritePNG(w io.Writer, t judge.Timeline) error {
	type spec struct {
		title, unit string
		lines       []line
	}
	specs := []spec{
		{"Latency of requests done, by arrival time", "ms", latencyLines(t)},
		{"Imbalance: busiest target over the mean", "ratio", imbalanceLines(t)},
		{"Changes of owners, as targets saw them", "changes (cumulative)", changeLines(t)},
		{"Unavailable: requests not done, and slices asked for and not served", "count", unavailableLines(t)},
	}
	rows := make([][]*plot.Plot, 0, len(specs))
	for _, s := range specs {
		p, err := newPlot(s.title, s.unit, t, s.lines)
		if err != nil {
			return err
		}
		rows = append(rows, []*plot.Plot{p})
	}
	canvas := vgimg.New(pageWidth, pageHeight)
	tiles := draw.Tiles{
		Rows: len(rows), Cols: 1, PadX: padding, PadY: padding,
		PadTop: padding, PadBottom: padding, PadLeft: padding, PadRight: padding,
	}
	for i, row := range plot.Align(rows, tiles, draw.New(canvas)) {
		rows[i][0].Draw(row[0])
	}
	_, err := vgimg.PngCanvas{Canvas: canvas}.WriteTo(w)
	return err
}

// newPlot draws lines over time, with the windows of faults shaded.
func newPlot(title, unit string, t judge.Timeline, lines []line) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds since the start of the load"
	p.Y.Label.Text = unit
	p.Legend.Top = true
	p.Legend.Padding = legendGap
	maxY := 1.0
	for _, l := range lines {
		for _, point := range l.points {
			maxY = max(maxY, point.Y)
		}
	}
	for _, f := range t.Faults {
		if err := addWindow(p, f, maxY*headroom); err != nil {
			return nil, err
		}
	}
	p.Add(plotter.NewGrid())
	for i, l := range lines {
		drawn, err := plotter.NewLine(l.points)
		if err != nil {
			return nil, err
		}
		drawn.Color = plotutil.Color(i)
		drawn.Width = vg.Points(lineWidth)
		p.Add(drawn)
		p.Legend.Add(l.name, drawn)
	}
	p.Y.Min = 0
	p.Y.Max = maxY * headroom
	p.X.Min = 0
	p.X.Max = (time.Duration(len(t.Steps)) * t.Step).Seconds()
	return p, nil
}

// addWindow shades the window of a fault up to the height top.
func addWindow(p *plot.Plot, f judge.FaultWindow, top float64) error {
	from, to := f.Begin.Seconds(), max(f.End, f.Begin+minWindow).Seconds()
	box, err := plotter.NewPolygon(plotter.XYs{{X: from, Y: 0}, {X: to, Y: 0}, {X: to, Y: top}, {X: from, Y: top}})
	if err != nil {
		return err
	}
	box.Color = windowColors[f.Kind]
	box.Width = 0
	p.Add(box)
	return nil
}

// series returns a line with a point at the middle of each step in which a
// request arrived. It calls value once for each of these steps, in order.
func series(name string, t judge.Timeline, value func(i int) float64) line {
	l := line{name: name}
	for i, step := range t.Steps {
		if step.Requests == 0 {
			continue
		}
		middle := time.Duration(i)*t.Step + t.Step/2
		l.points = append(l.points, plotter.XY{X: middle.Seconds(), Y: value(i)})
	}
	return l
}

func latencyLines(t judge.Timeline) []line {
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	return []line{
		series("p50", t, func(i int) float64 { return ms(t.Steps[i].P50) }),
		series("p99", t, func(i int) float64 { return ms(t.Steps[i].P99) }),
	}
}

func imbalanceLines(t judge.Timeline) []line {
	var out []line
	for n, app := range t.Apps {
		out = append(out, series(app, t, func(i int) float64 { return t.Steps[i].Imbalance[n] }))
	}
	return out
}

// changeLines returns running totals over the steps in which a request arrived;
// changes in other steps are not counted.
func changeLines(t judge.Timeline) []line {
	changes, forced := 0, 0
	return []line{
		series("changes", t, func(i int) float64 {
			changes += t.Steps[i].Changes
			return float64(changes)
		}),
		series("forced by faults", t, func(i int) float64 {
			forced += t.Steps[i].Forced
			return float64(forced)
		}),
	}
}

func unavailableLines(t judge.Timeline) []line {
	return []line{
		series("requests not done", t, func(i int) float64 { return float64(t.Steps[i].Failed) }),
		series("gaps", t, func(i int) float64 { return float64(t.GapCount(i)) }),
	}
}
