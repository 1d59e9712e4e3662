package sloper

import (
	"fmt"
	"io"
	"strings"
)

// letterSize is the size of each axis that the capacity page looks at.
var letterSize = map[string]float64{
	"accounts": 14_000, "backlogged": 1400, "upstreams": 730, "peers": 400,
	"routers": 400, "streams": 2500, "requests": 1600,
}

// WriteTable writes the slopes as a table in Markdown.
func WriteTable(w io.Writer, slopes []*Slope) error {
	var b strings.Builder
	b.WriteString("# Measured slopes\n\nWritten by `make slopes`; do not edit. [CAPACITY.md](CAPACITY.md) explains it.\n")
	b.WriteString("\"Outside\" is how many times the largest size run the last column's size is.\n\n")
	b.WriteString("| Benchmark | Metric | Results (size: value) | Line | r² | At | Outside |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, s := range slopes {
		points := make([]string, 0, len(s.Points))
		for _, p := range s.Points {
			points = append(points, fmt.Sprintf("%g: %.4g", p.Size, p.Value))
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %.4g + %.4g × %s | %.2f | %s |\n",
			s.Name, s.Unit, strings.Join(points, "; "), s.Base, s.PerUnit, s.Axis, s.Fit, s.outlook())
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// outlook gives the line's value at the size of the capacity page.
func (s *Slope) outlook() string {
	size, ok := letterSize[s.Axis]
	if !ok {
		return "| "
	}
	largest := s.Points[len(s.Points)-1].Size
	return fmt.Sprintf("%g: %.4g | %.1f ×", size, s.At(size), size/largest)
}
