package averager

import "testing"

func TestMedian(t *testing.T) {
	for _, c := range []struct {
		name   string
		values []Value
		want   float64
	}{
		{"none", nil, 0},
		{"one", []Value{{4, 1}}, 4},
		{"the upper of two", []Value{{2, 1}, {1, 1}}, 2},
		{"three", []Value{{9, 1}, {1, 1}, {2, 1}}, 2},
		{"many against one", []Value{{9, 1}, {1, 17}}, 1},
		{"two halves", []Value{{3, 5}, {1, 5}}, 3},
	} {
		if got := Median(c.values); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}
