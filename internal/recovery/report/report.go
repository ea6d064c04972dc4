// Package report renders the recovery of lost records as an HTML page: the evidence, the records
// that were written back, the held jobs with the reasons, and a timeline.
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

var pageTemplate = template.Must(template.New("report").Funcs(template.FuncMap{"time": formatMs}).Parse(page))

// Page is the data of the template.
type Page struct {
	Cluster  string
	Made     time.Time
	Status   recoverer.Status
	Timeline template.HTML
}

// Write writes a report on the recovery of one deployment to out. The report shows status, as of
// madeAt.
func Write(out io.Writer, cluster string, status recoverer.Status, madeAt time.Time) error {
	timeline, err := drawTimeline(status.Events)
	if err != nil {
		return fmt.Errorf("timeline: %w", err)
	}
	return pageTemplate.Execute(out, Page{Cluster: cluster, Made: madeAt, Status: status, Timeline: timeline})
}

func formatMs(ms int64) string {
	if ms == 0 {
		return ""
	}
	return time.UnixMilli(ms).UTC().Format(time.DateTime)
}

// drawTimeline plots the cumulative number of events of each kind over time.
func drawTimeline(events []recoverer.Event) (template.HTML, error) {
	if len(events) == 0 {
		return "", nil
	}
	first := events[0].At
	lines := map[string]plotter.XYs{}
	for _, event := range events {
		second := event.At.Sub(first).Seconds()
		line := lines[event.What]
		lines[event.What] = append(line, plotter.XY{X: second, Y: float64(len(line) + 1)})
	}
	timeline := plot.New()
	timeline.X.Label.Text = "seconds since " + first.UTC().Format(time.DateTime)
	timeline.Y.Label.Text = "steps"
	timeline.Legend.Top, timeline.Legend.Left = true, true
	timeline.Add(plotter.NewGrid())
	end := events[len(events)-1].At.Sub(first).Seconds()
	for i, kind := range slices.Sorted(maps.Keys(lines)) {
		if err := addStepLine(timeline, kind, lines[kind], end, plotutil.Color(i), i); err != nil {
			return "", err
		}
	}
	return svgplot.Draw(timeline)
}

// addStepLine adds the events of one kind to the plot: a step line, and a marker at each event.
func addStepLine(timeline *plot.Plot, kind string, points plotter.XYs, end float64, lineColor color.Color, shape int) error {
	last := points[len(points)-1]
	line, err := plotter.NewLine(append(slices.Clone(points), plotter.XY{X: end, Y: last.Y}))
	if err != nil {
		return err
	}
	line.StepStyle = plotter.PostStep
	line.Color = lineColor
	marks, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	marks.Color, marks.Shape = lineColor, plotutil.Shape(shape)
	timeline.Add(line, marks)
	timeline.Legend.Add(kind, line, marks)
	return nil
}
