package router

import (
	"fmt"
	"testing"

	"github.com/ugorji/go/codec"

	"lentilwood.example/lentilwood/internal/messenger"
)

// BenchmarkDigest encodes the digest that a router of a large fleet receives each round and
// reports its size, for the current fleet of the users and for the fleet sizes that the
// project is designed for.
func BenchmarkDigest(b *testing.B) {
	for _, size := range []struct{ routers, upstreams, accounts int }{{60, 65, 30}, {295, 165, 60}, {400, 730, 1400}, {400, 730, 14000}} {
		b.Run(fmt.Sprintf("%d-%d-%d", size.routers, size.upstreams, size.accounts), func(b *testing.B) {
			e := hostedEnvelope{From: Member{Name: "edge-riga-a-17", Address: "10.1.0.33:8785", Domain: "riga-a", Incarnation: 1 << 50}, Load: &messenger.PeerLoad{}}
			for i := range size.routers {
				e.Load.Routers = append(e.Load.Routers, messenger.NameHash(1<<31+i))
			}
			for i := range size.upstreams {
				e.Load.Upstreams = append(e.Load.Upstreams, messenger.UpstreamLoad{Upstream: messenger.NameHash(1<<31 + i), Running: 12, UnreadTokens: 20_000, Pace: &messenger.Pace{Events: 1200, LateEvents: 12, UsualMS: 60_000}})
			}
			for i := range size.accounts {
				e.Load.Accounts = append(e.Load.Accounts, messenger.AccountDemand{Account: messenger.NameHash(1<<31 + i), Rate: 900_000, Served: 800_000})
			}
			handle := &codec.MsgpackHandle{WriteExt: true}
			handle.StructToArray = true
			var out []byte
			for b.Loop() {
				out = out[:0]
				if err := codec.NewEncoderBytes(&out, handle).Encode(e); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(out)), "bytes/digest")
		})
	}
}
