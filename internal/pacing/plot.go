package pacing

import (
	"io"
	"slices"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	panelWidth  = 14 * vg.Centimeter
	panelHeight = 9 * vg.Centimeter
)

// panel is one plot: the policies over the load.
type panel struct {
	pattern string
	of      Case
}

// writePlot draws the credit over the load, a panel for each pattern and case
// and a curve for each policy, as the mean over the seeds.
func writePlot(out io.Writer, results []Result) error {
	var panels []panel
	for _, r := range results {
		if p := (panel{r.Pattern, r.Case}); !slices.Contains(panels, p) {
			panels = append(panels, p)
		}
	}
	canvas := vgsvg.New(panelWidth, panelHeight*vg.Length(max(len(panels), 1)))
	tiles := draw.Tiles{Rows: max(len(panels), 1), Cols: 1, PadY: vg.Centimeter, PadTop: vg.Centimeter, PadBottom: vg.Centimeter, PadRight: vg.Centimeter}
	for i, p := range panels {
		drawn, err := p.plot(results)
		if err != nil {
			return eris.Wrap(err, "plot results")
		}
		drawn.Draw(tiles.At(draw.New(canvas), 0, i))
	}
	_, err := canvas.WriteTo(out)
	return eris.Wrap(err, "write plot")
}

func (p panel) plot(results []Result) (*plot.Plot, error) {
	drawn := plot.New()
	drawn.Title.Text = p.pattern + ", " + string(p.of)
	drawn.X.Label.Text, drawn.Y.Label.Text = "load (usual = 1)", "share of credit"
	drawn.Y.Min, drawn.Y.Max = 0, 1
	drawn.Legend.Left = true
	for i, policy := range Policies() {
		sums := make(map[float64][2]float64)
		for _, r := range results {
			if r.Policy == policy && p == (panel{r.Pattern, r.Case}) {
				sums[r.Load] = [2]float64{sums[r.Load][0] + r.Credit, sums[r.Load][1] + 1}
			}
		}
		var points plotter.XYs
		for load, sum := range sums {
			points = append(points, plotter.XY{X: load, Y: sum[0] / sum[1]})
		}
		if len(points) == 0 {
			continue
		}
		slices.SortFunc(points, func(a, b plotter.XY) int {
			if a.X < b.X {
				return -1
			}
			return 1
		})
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		line.Color = plotutil.Color(i)
		drawn.Add(line)
		drawn.Legend.Add(policy, line)
	}
	return drawn, nil
}
