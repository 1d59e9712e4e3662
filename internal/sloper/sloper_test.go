package sloper

import (
	"errors"
	"math"
	"strings"
	"testing"
)

const results = `goos: linux
BenchmarkSlopeTick/peers=8-10   1  5 ns/op  10 B/s  3 ns/tick
BenchmarkSlopeTick/peers=32-10  1  5 ns/op  58 B/s  3 ns/tick
BenchmarkSlopeTick/peers=16-10  1  5 ns/op  26 B/s  3 ns/tick
BenchmarkSlopeTick/peers=4      1  5 ns/op  2 B/s  3 ns/tick
`

func TestRead(t *testing.T) {
	slopes, err := Read(strings.NewReader(results))
	if err != nil || len(slopes) != 2 {
		t.Fatalf("got %d slopes and %v, want 2", len(slopes), err)
	}
	s := slopes[0]
	if got := s.At(100); math.Abs(got-194) > 1e-9 || math.Abs(s.Fit-1) > 1e-9 {
		t.Errorf("got %v at 100 with fit %v, want 194 with 1", got, s.Fit)
	}
	if got := slopes[1].PerUnit; got != 0 {
		t.Errorf("slope of a constant: got %v, want 0", got)
	}
	var b strings.Builder
	if err := WriteTable(&b, slopes); err != nil || !strings.Contains(b.String(), "| Tick | B/s | 4: 2; 8: 10; 16: 26; 32: 58 | -6 + 2 × peers | 1.00 | 400: 794 | 12.5 × |") {
		t.Errorf("table: got %s, %v", b.String(), err)
	}
}

func TestReadWantsFourSizes(t *testing.T) {
	_, err := Read(strings.NewReader(results[:strings.LastIndex(results, "BenchmarkSlope")]))
	if !errors.Is(err, ErrTooFewSizes) {
		t.Errorf("got %v, want ErrTooFewSizes", err)
	}
}
