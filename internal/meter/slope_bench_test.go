package meter

import (
	"fmt"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/sloper"
	"lentilwood.example/lentilwood/internal/timekeeper"
)

// BenchmarkSlopeSeries measures the series of client accounts that have series
// of their own, in three classes each.
func BenchmarkSlopeSeries(b *testing.B) {
	for _, n := range []int{16, 64, 128, 256} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := sloper.Heap()
				m := New(timekeeper.System{}, n)
				for i := range n {
					for _, class := range []messenger.ClassID{"short", "long", "summary"} {
						s := m.Series(messenger.AccountID(fmt.Sprintf("a%d", i)), class)
						s.Accept()
						s.Wait(time.Millisecond)
						s.FirstToken(time.Millisecond)
						s.BetweenTokens(time.Millisecond)
						s.Total(time.Second)
					}
				}
				b.ReportMetric(sloper.Heap()-before, "B")
				b.ReportMetric(float64(len(write(m))), "page-B")
			}
		})
	}
}
