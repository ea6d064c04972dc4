package restart

import (
	_ "embed"
	"encoding/json"
	"errors"
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
var page string

var pageTemplate = template.Must(template.New("report").Parse(page))

// ErrWrong means that a restart did harm.
var ErrWrong = errors.New("a restart did harm")

// Verdict fails if any result is wrong, or if there is none.
func Verdict(results []Result) error {
	if len(results) == 0 {
		return errors.New("no trial was completed")
	}
	for _, r := range results {
		if why := r.Wrong(); why != "" {
			return fmt.Errorf("%w: pause %gs, trial %d: %s", ErrWrong, r.PauseS, r.Trial, why)
		}
	}
	return nil
}

// WriteAll prints a table, and writes results.jsonl and report.html into a folder.
func WriteAll(dir string, table io.Writer, results []Result) error {
	if err := writeTable(table, results); err != nil {
		return err
	}
	lines, err := os.Create(filepath.Join(dir, "results.jsonl"))
	if err != nil {
		return err
	}
	defer lines.Close()
	for _, r := range results {
		if err := json.NewEncoder(lines).Encode(r); err != nil {
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
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "pattern\tpause s\ttrial\ttasks\tgone\tbegun\tstopped\tterms\tfirst answer ms\tall run ms\tgap p50\tp99\tmax ms\tMB\tsockets\twrong\t")
	for _, r := range results {
		fmt.Fprintf(w, "%s\t%g\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%d\t%s\t\n", r.Pattern, r.PauseS, r.Trial, r.Tasks, r.Gone, r.Begun,
			r.Stopped, r.Terms, r.AnswerMs, r.WholeMs, r.P50, r.P99, r.Max, r.MemoryMB, r.Sockets, r.Wrong())
	}
	return w.Flush()
}

func writePage(to io.Writer, results []Result) error {
	gaps, err := drawGaps(results)
	if err != nil {
		return err
	}
	counts, err := drawCounts(results)
	if err != nil {
		return err
	}
	return pageTemplate.Execute(to, struct {
		Results      []Result
		Gaps, Counts template.HTML
	}{results, gaps, counts})
}

// drawGaps plots, for each pause, which part of all reports was answered within which time
// after the one before.
func drawGaps(results []Result) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = "time between two answered reports of a worker"
	p.X.Label.Text, p.Y.Label.Text = "seconds", "part of all"
	p.Legend.Left = false
	p.Add(plotter.NewGrid())
	for i, pause := range pausesOf(results) {
		all := newHistogram()
		for _, r := range results {
			if r.PauseS == pause && r.Gaps != nil {
				all.Merge(r.Gaps)
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
		p.Add(line)
		p.Legend.Add(fmt.Sprintf("pause %g s", pause), line)
	}
	return svgplot.Draw(p)
}

// drawCounts plots tasks gone and begun, by trial.
func drawCounts(results []Result) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = "tasks gone, and begun"
	p.X.Label.Text, p.Y.Label.Text = "trial", "tasks"
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	var gone, begun plotter.XYs
	for i, r := range results {
		gone = append(gone, plotter.XY{X: float64(i + 1), Y: float64(r.Gone)})
		begun = append(begun, plotter.XY{X: float64(i + 1), Y: float64(r.Begun)})
	}
	for i, s := range []struct {
		name   string
		points plotter.XYs
	}{{"gone", gone}, {"begun", begun}} {
		marks, err := plotter.NewScatter(s.points)
		if err != nil {
			return "", err
		}
		marks.Color, marks.Shape = plotutil.Color(i), plotutil.Shape(i)
		p.Add(marks)
		p.Legend.Add(s.name, marks)
	}
	return svgplot.Draw(p)
}

func pausesOf(results []Result) (pauses []float64) {
	seen := map[float64]bool{}
	for _, r := range results {
		if !seen[r.PauseS] {
			seen[r.PauseS] = true
			pauses = append(pauses, r.PauseS)
		}
	}
	return pauses
}
