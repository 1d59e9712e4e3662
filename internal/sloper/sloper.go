// Package sloper fits lines through the results of benchmarks that were run at
// several sizes, so that the cost of a larger fleet can be worked out.
//
// A benchmark is read if its name ends in an axis and a size, such as
// "BenchmarkSlopeTick/peers=8-10". Every metric that it reports gives one
// line by least squares.
//
// # Usage
//
//	slopes, err := sloper.Read(os.Stdin) // the output of go test -bench
//	err = sloper.WriteTable(w, slopes)
//	err = sloper.Plot(slopes, "docs/slopes.png")
package sloper

import (
	"bufio"
	"cmp"
	"io"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
)

// MinSizes is how many sizes a slope needs.
const MinSizes = 4

// ErrTooFewSizes is returned for a benchmark with fewer sizes than MinSizes.
var ErrTooFewSizes = merry.Sentinel("too few sizes for a slope")

// Point is one result of a benchmark.
type Point struct{ Size, Value float64 }

// Slope is a line through the results of one benchmark.
type Slope struct {
	// Name is the benchmark's, Axis is what was varied, Unit is the metric's.
	Name, Axis, Unit string
	Points           []Point
	// Base and PerUnit are the line's value at size 0 and its slope.
	Base, PerUnit float64
	// Fit is the coefficient of determination, 1 for a perfect line.
	Fit float64
}

// At returns the value of the line at a size.
func (s *Slope) At(size float64) float64 { return s.Base + s.PerUnit*size }

// fit computes the line by least squares.
func (s *Slope) fit() {
	n := float64(len(s.Points))
	var meanX, meanY, xx, xy, yy float64
	for _, p := range s.Points {
		meanX += p.Size / n
		meanY += p.Value / n
	}
	for _, p := range s.Points {
		dx, dy := p.Size-meanX, p.Value-meanY
		xx += dx * dx
		xy += dx * dy
		yy += dy * dy
	}
	s.PerUnit = xy / xx
	s.Base = meanY - s.PerUnit*meanX
	s.Fit = 1
	if yy > 0 {
		s.Fit = xy * xy / (xx * yy)
	}
}

var resultLine = regexp.MustCompile(`^Benchmark(?:Slope)?(\S+)/([a-z]+)=(\d+)(?:-\d+)?\s+\d+\s+(.*)$`)

type slopeKey struct{ name, axis, unit string }

// Read reads the output of go test -bench and fits a line for each metric. The
// time of a whole benchmark (ns/op) is left out.
func Read(r io.Reader) ([]*Slope, error) {
	found := make(map[slopeKey]*Slope)
	var slopes []*Slope
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		m := resultLine.FindStringSubmatch(lines.Text())
		if m == nil {
			continue
		}
		size, err := strconv.ParseFloat(m[3], 64)
		if err != nil {
			return nil, err
		}
		fields := strings.Fields(m[4])
		for i := 0; i+1 < len(fields); i += 2 {
			value, err := strconv.ParseFloat(fields[i], 64)
			if err != nil || math.IsNaN(value) {
				return nil, merry.Errorf("%s: bad value %q", m[1], fields[i])
			}
			if fields[i+1] == "ns/op" {
				continue
			}
			k := slopeKey{m[1], m[2], fields[i+1]}
			if found[k] == nil {
				found[k] = &Slope{Name: k.name, Axis: k.axis, Unit: k.unit}
				slopes = append(slopes, found[k])
			}
			found[k].Points = append(found[k].Points, Point{size, value})
		}
	}
	return slopes, finish(slopes, lines.Err())
}

// finish sorts and fits what was read.
func finish(slopes []*Slope, err error) error {
	if err != nil {
		return err
	}
	for _, s := range slopes {
		if len(s.Points) < MinSizes {
			return merry.Prepend(ErrTooFewSizes, s.Name+" "+s.Unit)
		}
		slices.SortFunc(s.Points, func(a, b Point) int { return cmp.Compare(a.Size, b.Size) })
		s.fit()
	}
	return nil
}
