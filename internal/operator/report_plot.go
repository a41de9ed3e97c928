package operator

import (
	"bytes"
	"fmt"
	"image/color"
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/vanillasail/vanillasail/internal/chart"
	"github.com/vanillasail/vanillasail/pkg/fault"
)

const (
	plotWidth   = 22 * vg.Centimeter
	panelHeight = 10 * vg.Centimeter
	// maxCurves limits the labels in the latency plot, so that it stays legible.
	maxCurves = 6
	barWidth  = 8 * vg.Millimeter
)

var (
	beforeColor = color.Gray{Y: 0xa0}
	afterColor  = color.RGBA{R: 0x1f, G: 0x6f, B: 0xb4, A: 0xff}
)

// svg renders one panel each for latency by quantile, measuring traffic by link,
// and refusals by reason.
func (c comparison) svg() ([]byte, error) {
	panels := []func() (*plot.Plot, error){c.latencyPlot, c.linksPlot, c.refusalsPlot}
	plots := make([]*plot.Plot, len(panels))
	for i, panel := range panels {
		var err error
		if plots[i], err = panel(); err != nil {
			return nil, fault.New(fault.KindInternal, "plot report: %v", err)
		}
	}
	var out bytes.Buffer
	if err := chart.WriteSVG(&out, plotWidth, panelHeight, plots...); err != nil {
		return nil, fault.New(fault.KindInternal, "write report plot: %v", err)
	}
	return out.Bytes(), nil
}

// latencyPlot plots latency by quantile on the scale of nines. The curves from
// before the change are dashed.
func (c comparison) latencyPlot() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("Version %d: latency before (dashed) and after", c.record.Version)
	p.X.Label.Text, p.Y.Label.Text = "quantile (%)", "latency (ms)"
	p.X.Tick.Marker = plot.ConstantTicks(quantileTicks())
	p.Legend.Top, p.Legend.Left = true, true
	pairs := c.latencies()
	for i, pair := range pairs[:min(len(pairs), maxCurves)] {
		name := pair.Service + " " + pair.Class + " " + pair.Tenant
		if err := addCurve(p, "", pair.before, plotutil.Color(i), plotutil.Dashes(1)); err != nil {
			return nil, err
		}
		if err := addCurve(p, name, pair.after, plotutil.Color(i), nil); err != nil {
			return nil, err
		}
	}
	return p, nil
}

var plottedQuantiles = [...]float64{0, 50, 75, 90, 95, 99, 99.5, 99.9, 99.99}

// nines maps a quantile in percent to the X axis, such as 90 to 1 and 99 to 2, so
// that the tail gets as much room as the rest.
func nines(q float64) float64 { return -math.Log10(1 - q/100) }

func quantileTicks() (ticks []plot.Tick) {
	for _, q := range plottedQuantiles {
		ticks = append(ticks, plot.Tick{Value: nines(q), Label: fmt.Sprint(q)})
	}
	return ticks
}

func addCurve(p *plot.Plot, name string, h *hdrhistogram.Histogram, c color.Color, dashes []vg.Length) error {
	if total(h) == 0 {
		return nil
	}
	var points plotter.XYs
	for _, q := range plottedQuantiles {
		points = append(points, plotter.XY{X: nines(q), Y: float64(h.ValueAtQuantile(q)) / 1000})
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color, line.Dashes, line.Width = c, dashes, vg.Points(1.2)
	p.Add(line)
	if name != "" {
		p.Legend.Add(name, line)
	}
	return nil
}

func (c comparison) linksPlot() (*plot.Plot, error) {
	var names []string
	var values []rates
	all := c.links()
	for _, l := range sortedLinks(all) {
		names, values = append(names, l.from+" > "+l.to), append(values, all[l])
	}
	return barPlot("Measuring by link", "bytes a second", names, values)
}

func (c comparison) refusalsPlot() (*plot.Plot, error) {
	byReason := map[string]rates{}
	var names []string
	all := c.refusals()
	for _, r := range sortedRefusals(all) {
		sum, seen := byReason[r.reason]
		if !seen {
			names = append(names, r.reason)
		}
		byReason[r.reason] = rates{sum.before + all[r].before, sum.after + all[r].after}
	}
	values := make([]rates, len(names))
	for i, name := range names {
		values[i] = byReason[name]
	}
	return barPlot("Refusals by reason", "refusals a second", names, values)
}

func barPlot(title, unit string, names []string, values []rates) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = title, unit
	p.Y.Min = 0
	if len(values) == 0 {
		p.Title.Text += ": none"
		return p, nil
	}
	before, after := make(plotter.Values, len(values)), make(plotter.Values, len(values))
	for i, v := range values {
		before[i], after[i] = v.before, v.after
	}
	if err := addBars(p, "before", before, beforeColor, -barWidth/2); err != nil {
		return nil, err
	}
	if err := addBars(p, "after", after, afterColor, barWidth/2); err != nil {
		return nil, err
	}
	p.Legend.Top = true
	p.NominalX(names...)
	p.X.Min, p.X.Max = -0.5, float64(len(names))-0.5
	p.Y.Max *= 1.3 // room for the legend
	return p, nil
}

func addBars(p *plot.Plot, name string, values plotter.Values, c color.Color, offset vg.Length) error {
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return err
	}
	bars.Color, bars.Offset = c, offset
	p.Add(bars)
	p.Legend.Add(name, bars)
	return nil
}
