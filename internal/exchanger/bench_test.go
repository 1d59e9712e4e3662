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

func benchExchanger(b *testing.B, name string, handler func(string, note)) *Exchanger[note] {
	b.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	x := New(Config[note]{Name: name, Address: "127.0.0.1:0", Key: []byte("shared"), Handler: handler, Log: log, QueueLength: 4096})
	if err := x.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(x.Stop)
	return x
}

func mustFlush(b *testing.B, x *Exchanger[note]) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if err := x.Flush(ctx); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkMessages measures what a message costs on the wire and in time,
// both ends together, with a number of messages that wait at a time.
func BenchmarkMessages(b *testing.B) {
	for _, waiting := range []int{1, 4, 16, 64} {
		b.Run(fmt.Sprintf("waiting%d", waiting), func(b *testing.B) {
			arrived := make(chan struct{}, waiting)
			to := benchExchanger(b, "r2", func(string, note) { arrived <- struct{}{} })
			from := benchExchanger(b, "r1", func(string, note) {})
			_ = from.Send(to.Addr(), note{N: 1, Text: "warm"})
			<-arrived
			mustFlush(b, from)
			before := from.Stats()
			b.ReportAllocs()
			for b.Loop() {
				for range waiting {
					_ = from.Send(to.Addr(), note{N: 1, Text: "sixteen bytes..."})
				}
				for range waiting {
					<-arrived
				}
			}
			mustFlush(b, from)
			after := from.Stats()
			n := float64(after.Sent - before.Sent)
			b.ReportMetric(float64(after.Traffic[DefaultPeerKind].SentBytes-before.Traffic[DefaultPeerKind].SentBytes)/n, "sent-B/message")
			b.ReportMetric(float64(after.Traffic[DefaultPeerKind].ReceivedBytes-before.Traffic[DefaultPeerKind].ReceivedBytes)/n, "received-B/message")
		})
	}
}

// BenchmarkPeers measures the memory of a peer to which a connection is open,
// both ends together, and the bytes that a connection costs by itself.
func BenchmarkPeers(b *testing.B) {
	for _, n := range []int{8, 40, 100, 400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			hub := benchExchanger(b, "hub", func(string, note) {})
			peers := make([]*Exchanger[note], n)
			for i := range peers {
				peers[i] = benchExchanger(b, fmt.Sprint("r", i), func(string, note) {})
			}
			for b.Loop() {
				before := memoryInUse()
				for _, p := range peers {
					_ = hub.Send(p.Addr(), note{N: 1})
				}
				mustFlush(b, hub)
				b.ReportMetric((memoryInUse()-before)/float64(n), "B/peer")
				b.ReportMetric(float64(hub.Stats().Traffic[DefaultPeerKind].SentBytes)/float64(n), "connect-B/peer")
			}
		})
	}
}

func memoryInUse() float64 {
	time.Sleep(50 * time.Millisecond) // let goroutines come to rest
	debug.FreeOSMemory()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}
