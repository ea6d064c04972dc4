// Package svgplot renders plots for embedding in HTML pages.
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

// Size of a plot on a page.
const (
	width  = 22 * vg.Centimeter
	height = 9 * vg.Centimeter
)

// Draw renders a plot as an SVG element. All plots have the same size. The plotting library
// escapes the texts, so the result is safe to embed.
func Draw(figure *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(width, height)
	figure.Draw(draw.New(canvas))
	var svg bytes.Buffer
	if _, err := canvas.WriteTo(&svg); err != nil {
		return "", err
	}
	// HTML allows an inline SVG element only without the XML declaration.
	text := svg.String()
	if start := strings.Index(text, "<svg"); start >= 0 {
		text = text[start:]
	}
	return template.HTML(text), nil
}
