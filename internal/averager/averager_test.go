package averager

import "testing"

func TestMedian(t *testing.T) {
	for _, c := range []struct {
		name   string
		values []Sample
		want   float64
	}{
		{"no values", nil, 0},
		{"one value", []Sample{{4, 1}}, 4},
		{"two values, greater one", []Sample{{2, 1}, {1, 1}}, 2},
		{"three values", []Sample{{9, 1}, {1, 1}, {2, 1}}, 2},
		{"one heavy sample", []Sample{{9, 1}, {1, 17}}, 1},
		{"equal weights, greater one", []Sample{{3, 5}, {1, 5}}, 3},
	} {
		if got := Median(c.values); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}
