package generator

import (
	"math"

	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"
	"github.com/ansel1/merry/v2"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of the picture.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
)

// plotQuantiles are the ticks of the x axis.
var plotQuantiles = []struct {
	label string
	q     float64
}{{"0", 0}, {"50%", 50}, {"90%", 90}, {"99%", 99}, {"99.9%", 99.9}, {"99.99%", 99.99}}

// Plot draws the time to the first token by quantile, a line for each client
// account and class, and saves it to a file whose ending tells the format.
func (r *Report) Plot(file string) error {
	p := plot.New()
	p.Title.Text = "Time to the first token"
	p.X.Label.Text = "share of requests"
	p.Y.Label.Text = "milliseconds"
	p.X.Tick.Marker = quantileTicks()
	p.Legend.Top = true
	p.Legend.Left = true
	p.Add(plotter.NewGrid())
	lines := 0
	for _, g := range r.Groups {
		if g.FirstToken.Count == 0 {
			continue
		}
		line, err := plotter.NewLine(curve(g.firstTokens))
		if err != nil {
			return merry.Prepend(err, "drawing the plot")
		}
		line.Color = plotutil.Color(lines)
		line.Dashes = plotutil.Dashes(lines / len(plotutil.DefaultColors))
		p.Add(line)
		p.Legend.Add(g.Account+" "+g.Class, line)
		lines++
	}
	if lines == 0 {
		return merry.New("there is nothing to plot: no answer was complete")
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return merry.Prependf(err, "saving %s", file)
	}
	return nil
}

// curve returns the points of one line.
func curve(h *hdrhistogram.Histogram) plotter.XYs {
	var points plotter.XYs
	for _, b := range h.CumulativeDistribution() {
		q := math.Min(b.Quantile, plotQuantiles[len(plotQuantiles)-1].q)
		points = append(points, plotter.XY{X: position(q), Y: float64(b.ValueAt) / microsPerMilli})
	}
	return points
}

// position spreads the quantiles near 100 percent.
func position(q float64) float64 { return -math.Log10(1 - q/100) }

func quantileTicks() plot.ConstantTicks {
	ticks := make(plot.ConstantTicks, 0, len(plotQuantiles))
	for _, t := range plotQuantiles {
		ticks = append(ticks, plot.Tick{Value: position(t.q), Label: t.label})
	}
	return ticks
}
