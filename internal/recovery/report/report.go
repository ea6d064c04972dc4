// Package report shows the recovery of lost records as a page: what was noticed,
// what was written back, which jobs are held and why, and a timeline.
package report

import (
	_ "embed"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"maps"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"

	"ospreyslip/internal/leader/recoverer"
	"ospreyslip/internal/svgplot"
)

//go:embed report.html
var page string

var pageTemplate = template.Must(template.New("report").Funcs(template.FuncMap{"since": sinceMs}).Parse(page))

// Report is what the page shows.
type Report struct {
	Cluster  string
	Made     time.Time
	Status   recoverer.Status
	Timeline template.HTML
}

// Write writes the page.
func Write(to io.Writer, cluster string, status recoverer.Status, made time.Time) error {
	timeline, err := drawTimeline(status.Events)
	if err != nil {
		return fmt.Errorf("timeline: %w", err)
	}
	return pageTemplate.Execute(to, Report{Cluster: cluster, Made: made, Status: status, Timeline: timeline})
}

func sinceMs(ms int64) string {
	if ms == 0 {
		return ""
	}
	return time.UnixMilli(ms).UTC().Format(time.DateTime)
}

// drawTimeline plots how many steps of each kind there had been by each moment.
func drawTimeline(events []recoverer.Event) (template.HTML, error) {
	if len(events) == 0 {
		return "", nil
	}
	first := events[0].At
	lines := map[string]plotter.XYs{}
	for _, e := range events {
		at := e.At.Sub(first).Seconds()
		line := lines[e.What]
		lines[e.What] = append(line, plotter.XY{X: at, Y: float64(len(line) + 1)})
	}
	p := plot.New()
	p.X.Label.Text = "seconds since " + first.UTC().Format(time.DateTime)
	p.Y.Label.Text = "steps"
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	end := events[len(events)-1].At.Sub(first).Seconds()
	for i, what := range slices.Sorted(maps.Keys(lines)) {
		if err := addLine(p, what, lines[what], end, plotutil.Color(i), i); err != nil {
			return "", err
		}
	}
	return svgplot.Draw(p)
}

// addLine adds steps of one kind: a line that rises with each, and a mark at each.
func addLine(p *plot.Plot, what string, points plotter.XYs, end float64, c color.Color, shape int) error {
	last := points[len(points)-1]
	line, err := plotter.NewLine(append(slices.Clone(points), plotter.XY{X: end, Y: last.Y}))
	if err != nil {
		return err
	}
	line.StepStyle = plotter.PostStep
	line.Color = c
	marks, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	marks.Color, marks.Shape = c, plotutil.Shape(shape)
	p.Add(line, marks)
	p.Legend.Add(what, line, marks)
	return nil
}
