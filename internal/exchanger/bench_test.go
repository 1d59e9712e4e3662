package exchanger

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

func startBenchExchanger(b *testing.B, name string, handler func(string, testMessage)) *Exchanger[testMessage] {
	b.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	x := New(Config[testMessage]{Name: name, Address: "127.0.0.1:0", Key: []byte("shared"), Handler: handler, Log: log, QueueLength: 4096})
	if err := x.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(x.Stop)
	return x
}

func flushBench(b *testing.B, x *Exchanger[testMessage]) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if err := x.Flush(ctx); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkMessages measures the bytes on the wire and the time per message, for both
// ends together, when up to the given number of messages are queued at a time.
func BenchmarkMessages(b *testing.B) {
	for _, queued := range []int{1, 4, 16, 64} {
		b.Run(fmt.Sprintf("queued%d", queued), func(b *testing.B) {
			received := make(chan struct{}, queued)
			to := startBenchExchanger(b, "r2", func(string, testMessage) { received <- struct{}{} })
			from := startBenchExchanger(b, "r1", func(string, testMessage) {})
			_ = from.Send(to.Addr(), testMessage{N: 1, Text: "warm"})
			<-received
			flushBench(b, from)
			before := from.Stats()
			b.ReportAllocs()
			for b.Loop() {
				for range queued {
					_ = from.Send(to.Addr(), testMessage{N: 1, Text: "sixteen bytes..."})
				}
				for range queued {
					<-received
				}
			}
			flushBench(b, from)
			after := from.Stats()
			n := float64(after.Sent - before.Sent)
			b.ReportMetric(float64(after.Traffic[DefaultPeerKind].SentBytes-before.Traffic[DefaultPeerKind].SentBytes)/n, "sent-B/message")
			b.ReportMetric(float64(after.Traffic[DefaultPeerKind].ReceivedBytes-before.Traffic[DefaultPeerKind].ReceivedBytes)/n, "received-B/message")
		})
	}
}

// BenchmarkPeers measures the memory per connected peer, for both ends together, and the
// bytes needed to open a connection and send one message.
func BenchmarkPeers(b *testing.B) {
	for _, n := range []int{8, 40, 100, 400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			hub := startBenchExchanger(b, "hub", func(string, testMessage) {})
			peers := make([]*Exchanger[testMessage], n)
			for i := range peers {
				peers[i] = startBenchExchanger(b, fmt.Sprint("r", i), func(string, testMessage) {})
			}
			for b.Loop() {
				before := memoryInUse()
				for _, p := range peers {
					_ = hub.Send(p.Addr(), testMessage{N: 1})
				}
				flushBench(b, hub)
				b.ReportMetric((memoryInUse()-before)/float64(n), "B/peer")
				b.ReportMetric(float64(hub.Stats().Traffic[DefaultPeerKind].SentBytes)/float64(n), "connect-B/peer")
			}
		})
	}
}

func memoryInUse() float64 {
	time.Sleep(50 * time.Millisecond) // let goroutines finish
	debug.FreeOSMemory()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}
