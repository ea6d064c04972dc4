package restart

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"

	"ospreyslip/internal/svgplot"
)

//go:embed report.html
var reportHTML string

var pageTemplate = template.Must(template.New("report").Parse(reportHTML))

// WriteReports writes a table of the results to table, and results.jsonl and report.html to the
// directory dir.
func WriteReports(dir string, table io.Writer, results []Result) error {
	if err := writeTable(table, results); err != nil {
		return err
	}
	lines, err := os.Create(filepath.Join(dir, "results.jsonl"))
	if err != nil {
		return err
	}
	defer lines.Close()
	for _, result := range results {
		if err := json.NewEncoder(lines).Encode(result); err != nil {
			return err
		}
	}
	html, err := os.Create(filepath.Join(dir, "report.html"))
	if err != nil {
		return err
	}
	defer html.Close()
	return writePage(html, results)
}

func writeTable(out io.Writer, results []Result) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "pattern\tpause s\ttrial\ttasks\tgone\tbegun\tstopped\tterms\tfirst answer ms\tall run ms\tgap p50\tp99\tmax ms\tMB\tsockets\twrong\t")
	for _, result := range results {
		fmt.Fprintf(table, "%s\t%g\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%d\t%s\t\n", result.Pattern, result.PauseS, result.Trial, result.Tasks, result.Lost, result.Started,
			result.Stopped, result.Terms, result.AnswerMs, result.AllRunningMs, result.P50, result.P99, result.Max, result.MemoryMB, result.Sockets, result.Fault())
	}
	return table.Flush()
}

func writePage(out io.Writer, results []Result) error {
	gaps, err := drawGaps(results)
	if err != nil {
		return err
	}
	counts, err := drawCounts(results)
	if err != nil {
		return err
	}
	return pageTemplate.Execute(out, struct {
		Results      []Result
		Gaps, Counts template.HTML
	}{results, gaps, counts})
}

// drawGaps plots, for each pause, the cumulative distribution of the time between consecutive
// answered heartbeats of a worker.
func drawGaps(results []Result) (template.HTML, error) {
	gaps := plot.New()
	gaps.Title.Text = "time between two answered reports of a worker"
	gaps.X.Label.Text, gaps.Y.Label.Text = "seconds", "part of all"
	gaps.Legend.Left = false
	gaps.Add(plotter.NewGrid())
	for i, pause := range pausesOf(results) {
		all := newHistogram()
		for _, result := range results {
			if result.PauseS == pause && result.Gaps != nil {
				all.Merge(result.Gaps)
			}
		}
		var points plotter.XYs
		for _, bar := range all.CumulativeDistribution() {
			points = append(points, plotter.XY{X: float64(bar.ValueAt) / 1000, Y: bar.Quantile / 100})
		}
		if len(points) == 0 {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", err
		}
		line.Color = plotutil.Color(i)
		gaps.Add(line)
		gaps.Legend.Add(fmt.Sprintf("pause %g s", pause), line)
	}
	return svgplot.Draw(gaps)
}

// drawCounts plots the numbers of lost and started tasks of each trial.
func drawCounts(results []Result) (template.HTML, error) {
	counts := plot.New()
	counts.Title.Text = "tasks gone, and begun"
	counts.X.Label.Text, counts.Y.Label.Text = "trial", "tasks"
	counts.Legend.Top = true
	counts.Add(plotter.NewGrid())
	var lostPoints, startedPoints plotter.XYs
	for i, result := range results {
		lostPoints = append(lostPoints, plotter.XY{X: float64(i + 1), Y: float64(result.Lost)})
		startedPoints = append(startedPoints, plotter.XY{X: float64(i + 1), Y: float64(result.Started)})
	}
	for i, series := range []struct {
		name   string
		points plotter.XYs
	}{{"gone", lostPoints}, {"begun", startedPoints}} {
		marks, err := plotter.NewScatter(series.points)
		if err != nil {
			return "", err
		}
		marks.Color, marks.Shape = plotutil.Color(i), plotutil.Shape(i)
		counts.Add(marks)
		counts.Legend.Add(series.name, marks)
	}
	return svgplot.Draw(counts)
}

func pausesOf(results []Result) (pauses []float64) {
	seen := map[float64]bool{}
	for _, result := range results {
		if !seen[result.PauseS] {
			seen[result.PauseS] = true
			pauses = append(pauses, result.PauseS)
		}
	}
	return pauses
}
