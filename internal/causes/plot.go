package causes

import (
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/vanillasail/vanillasail/internal/chart"
)

const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// WritePlot writes a plot of the failures per second by kind as SVG.
func (c *Summary) WritePlot(out io.Writer) error {
	p := plot.New()
	p.Title.Text = "Failed requests"
	p.X.Label.Text, p.Y.Label.Text = "seconds since the first failure", "failures per second"
	p.Legend.Top = true
	first, last := c.timeRange()
	for i, kind := range c.kinds() {
		var points plotter.XYs
		for at := first; at <= last; at++ {
			points = append(points, plotter.XY{X: float64(at - first), Y: float64(c.failuresAt[kind][at])})
		}
		if err := chart.AddLine(p, kind, i, points); err != nil {
			return err
		}
	}
	return chart.WriteSVG(out, plotWidth, plotHeight, p)
}

// timeRange returns the times of the first and last failure in Unix seconds.
func (c *Summary) timeRange() (first, last int64) {
	found := false
	for _, failuresAt := range c.failuresAt {
		for at := range failuresAt {
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
