// Package svgplot draws plots that stand in an HTML page.
package svgplot

import (
	"bytes"
	"html/template"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Size of a plot on the page.
const (
	width  = 22 * vg.Centimeter
	height = 9 * vg.Centimeter
)

// Draw returns a plot as an SVG element, in the size of all plots on pages. The library escapes
// the texts in it.
func Draw(figure *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(width, height)
	figure.Draw(draw.New(canvas))
	var svg bytes.Buffer
	if _, err := canvas.WriteTo(&svg); err != nil {
		return "", err
	}
	// Without the XML heading, an SVG may stand in a page.
	text := svg.String()
	if start := strings.Index(text, "<svg"); start >= 0 {
		text = text[start:]
	}
	return template.HTML(text), nil
}
