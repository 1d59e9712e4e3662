package router

import "testing"

func TestScaleOf(t *testing.T) {
	tests := []struct {
		name                string
		wire, counted, last float64
		want                float64
	}{
		{name: "counts agree", wire: 1000, counted: 1000, last: 1.5, want: 1.5},
		{name: "scheduler counts too little", wire: 3000, counted: 2000, last: 1, want: 1.5},
		{name: "first correction", wire: 3000, counted: 2000, last: 0, want: 1.5},
		{name: "converges", wire: 3000, counted: 3000, last: 1.5, want: 1.5},
		{name: "never below minimum", wire: 100, counted: 1000, last: 1, want: minScale},
		{name: "never above maximum", wire: 9000, counted: 1000, last: 1, want: maxScale},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := nextScale(tt.wire, tt.counted, tt.last); got != tt.want {
				t.Errorf("nextScale(%v, %v, %v) = %v, want %v", tt.wire, tt.counted, tt.last, got, tt.want)
			}
		})
	}
}
