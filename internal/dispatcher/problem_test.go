package dispatcher

import (
	"testing"
	"time"
)

func TestSecondsRoundUp(t *testing.T) {
	tests := []struct {
		d    time.Duration
		want int
	}{
		{d: 0, want: 1},
		{d: time.Millisecond, want: 1},
		{d: time.Second, want: 1},
		{d: time.Second + 1, want: 2},
		{d: 90 * time.Second, want: 90},
	}
	for _, tt := range tests {
		if got := seconds(tt.d); got != tt.want {
			t.Errorf("seconds(%v) = %d, want %d", tt.d, got, tt.want)
		}
	}
}
