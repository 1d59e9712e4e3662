package recorder

import (
	"context"
	"fmt"
	"testing"
)

// BenchmarkSlopeRecord counts store calls as the number of requests grows. Each request
// claims a key and records an outcome.
func BenchmarkSlopeRecord(b *testing.B) {
	for _, n := range []int{50, 100, 200, 400} {
		b.Run(fmt.Sprintf("requests=%d", n), func(b *testing.B) {
			s := newFakeStore()
			r := newTestRecorder(s, newStepClock(), "r1")
			for b.Loop() {
				for i := range n {
					req := testRequest()
					req.Key = fmt.Sprint(i)
					c, err := r.Claim(context.Background(), req)
					if err != nil {
						b.Fatal(err)
					}
					if err := r.RecordOutcome(context.Background(), c, Outcome{Status: 201}); err != nil {
						b.Fatal(err)
					}
				}
			}
			b.ReportMetric(float64(s.commits), "commits")
			b.ReportMetric(float64(s.reads), "reads")
		})
	}
}
