package causes

import (
	"io"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// WritePlot draws the failures a second by kind as SVG.
func (c *Table) WritePlot(out io.Writer) error {
	p := plot.New()
	p.Title.Text = "Failed requests"
	p.X.Label.Text, p.Y.Label.Text = "seconds since the first failure", "a second"
	p.Legend.Top = true
	first, last := c.span()
	for i, kind := range c.kinds() {
		var points plotter.XYs
		for at := first; at <= last; at++ {
			points = append(points, plotter.XY{X: float64(at - first), Y: float64(c.seconds[kind][at])})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return eris.Wrap(err, "plot failures")
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(kind, line)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	_, err := canvas.WriteTo(out)
	return eris.Wrap(err, "write plot of failures")
}

// span returns the first and last second with a failure.
func (c *Table) span() (first, last int64) {
	found := false
	for _, seconds := range c.seconds {
		for at := range seconds {
			if !found || at < first {
				first = at
			}
			if !found || at > last {
				last = at
			}
			found = true
		}
	}
	return first, last
}
