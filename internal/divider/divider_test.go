package divider

import "testing"

func TestFairShare(t *testing.T) {
	for _, c := range []struct {
		demands        []float64
		capacity, want float64
	}{
		{[]float64{9, 1, 5}, 10, 4.5},
		{[]float64{9, 1, 5}, 3, 1},
		{[]float64{9, 1, 5}, 2.25, 0.75},
		{[]float64{9, 1, 5}, 15, 0},
		{[]float64{9, 1, 5}, 0, 0},
		{nil, 10, 0},
	} {
		if got := FairShare(c.demands, c.capacity); got != c.want {
			t.Errorf("got fair share %v for demands %v and capacity %v, want %v", got, c.demands, c.capacity, c.want)
		}
	}
}

func TestAllocationIsLimitedByFairShare(t *testing.T) {
	if got := Allocation(9, 4.5); got != 4.5 {
		t.Errorf("got allocation %v above the fair share, want 4.5", got)
	}
	if got := Allocation(1, 4.5); got != 1 {
		t.Errorf("got allocation %v below the fair share, want 1", got)
	}
	if got := Allocation(9, 0); got != 9 {
		t.Errorf("got allocation %v without a fair share, want 9", got)
	}
}
