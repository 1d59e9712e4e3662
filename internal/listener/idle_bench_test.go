package listener

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"testing"
	"time"
)

// BenchmarkIdleStreams measures the memory of open streams without traffic. The memory of the
// client's end counts only as far as it is part of this process's Go heap and stacks.
func BenchmarkIdleStreams(b *testing.B) {
	for _, n := range []int{1000, 4000, 8000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			l, err := Start(Config{Name: "bench", Address: "127.0.0.1:0", Log: discardLogger(), Handler: func(c *Caller, _ *http.Request) {
				_, _ = c.Write([]byte("id: 1\ndata: x\n\n"))
				c.Flush()
				<-c.Done()
			}})
			if err != nil {
				b.Fatal(err)
			}
			b.Cleanup(func() { l.stop() })
			for b.Loop() {
				bytesBefore := memoryInUse()
				conns := openIdleStreams(b, l.Addr(), n)
				b.ReportMetric((memoryInUse()-bytesBefore)/float64(n), "B/stream")
				for _, conn := range conns {
					_ = conn.Close()
				}
				for l.OpenConns() > 0 {
					time.Sleep(time.Millisecond)
				}
			}
		})
	}
}

func memoryInUse() float64 {
	debug.FreeOSMemory()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

func openIdleStreams(b *testing.B, address string, n int) []net.Conn {
	buf := make([]byte, 256)
	conns := make([]net.Conn, 0, n)
	for range n {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.WriteString(conn, rawGetKeepAlive); err != nil {
			b.Fatal(err)
		}
		if _, err := conn.Read(buf); err != nil {
			b.Fatal(err)
		}
		conns = append(conns, conn)
	}
	return conns
}
