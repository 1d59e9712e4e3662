package collector

import (
	"testing"

	"lentilwood.example/lentilwood/internal/messenger"
)

// TestPaceIsSummed guards against observations of a speed that are lost, counted twice, or
// changed in the message of the router that made them.
func TestPaceIsSummed(t *testing.T) {
	load := func(i int, p *messenger.Pace) messenger.PeerLoad {
		return messenger.PeerLoad{From: routerID(i), Upstreams: []messenger.UpstreamLoad{{Upstream: 1, Running: 1, Pace: p}}}
	}
	first := &messenger.Pace{Events: 10, LateEvents: 1, UsualMS: 600}
	var c Collector
	c.Receive(epoch, routerID(1), load(1, first), true)
	c.Receive(epoch, routerID(2), load(2, &messenger.Pace{Events: 5, LateEvents: 2, UsualMS: 200}), true)
	c.Receive(epoch, routerID(3), load(3, nil), true)
	agg := c.Aggregate(load(0, nil))
	for i, want := range map[int]messenger.Pace{
		1: {Events: 5, LateEvents: 2, UsualMS: 200},
		2: {Events: 10, LateEvents: 1, UsualMS: 600},
		3: {Events: 15, LateEvents: 3, UsualMS: 800},
	} {
		if got := agg.Without(routerID(i)).Upstreams[0].Pace; got == nil || *got != want {
			t.Errorf("without router %d: got %v, want %v", i, got, want)
		}
	}
	if *first != (messenger.Pace{Events: 10, LateEvents: 1, UsualMS: 600}) {
		t.Errorf("the router's own message was changed to %v", *first)
	}
}
