// Package chart writes plots as SVG images.
package chart

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

// AddLine adds a line through the points to the plot and its legend. The index
// selects the color.
func AddLine(p *plot.Plot, name string, index int, points plotter.XYs) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return eris.Wrapf(err, "draw %s", name)
	}
	line.Color = plotutil.Color(index)
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

// WriteSVG writes the plots one below the other as one image. Width and height are
// the size of each plot.
func WriteSVG(out io.Writer, width, height vg.Length, plots ...*plot.Plot) error {
	rows := max(len(plots), 1)
	canvas := vgsvg.New(width, height*vg.Length(rows))
	tiles := draw.Tiles{
		Rows: rows, Cols: 1, PadY: vg.Centimeter, PadTop: vg.Centimeter, PadBottom: vg.Centimeter, PadRight: vg.Centimeter,
	}
	for i, p := range plots {
		p.Draw(tiles.At(draw.New(canvas), 0, i))
	}
	_, err := canvas.WriteTo(out)
	return eris.Wrap(err, "write plots")
}
