package demonstrator

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/emulator"
	"lentilwood.example/lentilwood/internal/sloper"
)

// BenchmarkSlopeStreams measures open, silent streams; what a router adds is
// the difference to streams straight from the stand-in.
func BenchmarkSlopeStreams(b *testing.B) {
	for _, n := range []int{250, 500, 1000, 2000} {
		b.Run(fmt.Sprintf("streams=%d", n), func(b *testing.B) {
			r := startRelay(b)
			r.worker.SetFaults(emulator.Faults{SilentAfterEvents: 1})
			for b.Loop() {
				direct := streamBytes(b, r.worker.Addr(), n)
				time.Sleep(time.Second) // let the connections go
				idle := runtime.NumGoroutine()
				through := streamBytes(b, r.router.CallersAddr(), n)
				b.ReportMetric((through-direct)*float64(n), "added-B")
				b.ReportMetric(float64(runtime.NumGoroutine()-idle), "goroutines")
			}
		})
	}
}

// BenchmarkSlopeTokens measures processor time of whole requests against the
// tokens in each. Caller, router and stand-in are in this process; what the
// router adds is the difference to requests straight to the stand-in.
func BenchmarkSlopeTokens(b *testing.B) {
	r := startRelay(b)
	for _, n := range []int{1, 16, 64, 256} {
		b.Run(fmt.Sprintf("tokens=%d", n), func(b *testing.B) {
			body := fmt.Sprintf(`{"prompt":"x","maxTokens":%d,"stream":true}`, n)
			for b.Loop() {
				begin := sloper.CPU()
				measure(b, r.worker.Addr(), body, 4)
				middle := sloper.CPU()
				measure(b, r.router.CallersAddr(), body, 4)
				added := sloper.CPU() - middle - (middle - begin)
				b.ReportMetric(float64(added.Microseconds())/benchRequests, "added-cpu-µs/request")
			}
		})
	}
}
