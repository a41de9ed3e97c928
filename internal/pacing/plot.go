package pacing

import (
	"io"
	"maps"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/vanillasail/vanillasail/internal/chart"
)

const (
	panelWidth  = 14 * vg.Centimeter
	panelHeight = 9 * vg.Centimeter
)

// panel is one plot, with a curve over the load for each policy.
type panel struct {
	pattern string
	runCase Case
}

// writePlot draws the mean credit of all seeds over the load, with a panel for each
// pattern and case and a curve for each policy.
func writePlot(out io.Writer, results []Result) error {
	var panels []panel
	for _, r := range results {
		if p := (panel{r.Pattern, r.Case}); !slices.Contains(panels, p) {
			panels = append(panels, p)
		}
	}
	plots := make([]*plot.Plot, len(panels))
	for i, p := range panels {
		var err error
		if plots[i], err = p.plot(results); err != nil {
			return err
		}
	}
	return chart.WriteSVG(out, panelWidth, panelHeight, plots...)
}

func (p panel) plot(results []Result) (*plot.Plot, error) {
	figure := plot.New()
	figure.Title.Text = p.pattern + ", " + string(p.runCase)
	figure.X.Label.Text, figure.Y.Label.Text = "load (usual = 1)", "share of credit"
	figure.Y.Min, figure.Y.Max = 0, 1
	figure.Legend.Left = true
	for i, policy := range Policies() {
		points := p.points(policy, results)
		if len(points) == 0 {
			continue
		}
		if err := chart.AddLine(figure, policy, i, points); err != nil {
			return nil, err
		}
	}
	return figure, nil
}

// points returns the mean credit of a policy by load in ascending order.
func (p panel) points(policy string, results []Result) (points plotter.XYs) {
	credits := make(map[float64][]float64)
	for _, r := range results {
		if r.Policy == policy && p == (panel{r.Pattern, r.Case}) {
			credits[r.Load] = append(credits[r.Load], r.Credit)
		}
	}
	for _, load := range slices.Sorted(maps.Keys(credits)) {
		sum := 0.0
		for _, credit := range credits[load] {
			sum += credit
		}
		points = append(points, plotter.XY{X: load, Y: sum / float64(len(credits[load]))})
	}
	return points
}
