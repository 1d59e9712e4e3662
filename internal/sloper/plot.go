package sloper

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 6 * vg.Inch
)

// Plot draws every slope, each in units of its result at the smallest size,
// with logarithmic axes, and writes a PNG.
func Plot(slopes []*Slope, path string) error {
	p := plot.New()
	p.Title.Text = "Growth of each cost with size, relative to the smallest size run"
	p.X.Label.Text, p.Y.Label.Text = "size / smallest size", "cost / cost at smallest size"
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	p.Legend.TextStyle.Font.Size = vg.Points(7)
	for i, s := range slopes {
		points := s.relative()
		if points == nil {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i/7)
		p.Add(line)
		p.Legend.Add(s.Name+", "+s.Unit+" by "+s.Axis, line)
	}
	return p.Save(plotWidth, plotHeight, path)
}

// relative returns the points in units of the first; nil if one is not
// positive and so has no logarithm.
func (s *Slope) relative() plotter.XYs {
	first := s.Points[0]
	points := make(plotter.XYs, 0, len(s.Points))
	for _, p := range s.Points {
		if p.Value <= 0 {
			return nil
		}
		points = append(points, plotter.XY{X: p.Size / first.Size, Y: p.Value / first.Value})
	}
	return points
}
