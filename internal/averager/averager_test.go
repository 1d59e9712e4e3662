package averager

import "testing"

func TestMedian(t *testing.T) {
	for _, c := range []struct {
		name   string
		values []Sample
		want   float64
	}{
		{"none", nil, 0},
		{"one", []Sample{{4, 1}}, 4},
		{"the upper of two", []Sample{{2, 1}, {1, 1}}, 2},
		{"three", []Sample{{9, 1}, {1, 1}, {2, 1}}, 2},
		{"many against one", []Sample{{9, 1}, {1, 17}}, 1},
		{"two halves", []Sample{{3, 5}, {1, 5}}, 3},
	} {
		if got := Median(c.values); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}
