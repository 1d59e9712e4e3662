package router

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/follower"
	"lentilwood.example/lentilwood/internal/messenger"
)

// domainDecoder decodes the value of a registration as its failure domain.
type domainDecoder struct{ poolDecoder }

func (domainDecoder) Registration(_ string, value []byte) (messenger.UpstreamPolicy, error) {
	return messenger.UpstreamPolicy{Pool: "p", Domain: string(value)}, nil
}

// empty has the collector read a row of the operator with the given key.
func (f *twoRouterFleet) empty(key string, deleted bool) {
	since := f.collector.follower.Version(follower.ConfigurationTable)
	f.collector.merge(follower.Batch{Table: follower.ConfigurationTable, Since: since, Version: since + 1, Rows: []follower.Row{
		{Key: key, Version: since + 1, Deleted: deleted},
	}}, sourceStore)
}

// newDomainFleet returns a fleet whose upstream "u" is in the failure domain "a".
func newDomainFleet(t *testing.T) *twoRouterFleet {
	t.Helper()
	f := newTwoRouterFleet(t)
	f.collector.follower = follower.New(domainDecoder{})
	f.reporter.follower = follower.New(domainDecoder{})
	f.collector.merge(follower.Batch{Table: follower.ConfigurationTable, Full: true, Version: 1, Rows: []follower.Row{{Key: "c", Version: 1}}}, sourceStore)
	f.collector.merge(follower.Batch{Table: follower.RegistrationTable, Full: true, Version: f.version, Rows: []follower.Row{
		{Key: "u", Value: []byte("a"), Version: 2},
	}}, sourceStore)
	f.collector.peers["reporter"].rowSender.Reset()
	f.advance(time.Second)
	if _, ok := f.reporter.Upstream("u"); !ok {
		t.Fatal("the reporter did not receive the upstream at the start")
	}
	return f
}

// TestEmptiedDomainReachesOtherRouters guards against requests to an emptied failure domain from
// a router that learns of it from another one, also if the message is lost, and from one that
// restarts meanwhile. The time is that for leaving upstreams, which is below the one allowed.
func TestEmptiedDomainReachesOtherRouters(t *testing.T) {
	f := newDomainFleet(t)
	f.empty("empty/a", false)
	f.dropMessages = true
	f.exchange()
	f.dropMessages = false
	f.advance(maxDepartureDelay)
	if _, ok := f.reporter.Upstream("u"); ok {
		t.Error("the reporter still uses an upstream in an emptied failure domain")
	}
	f.reporter = f.newRouter("reporter")
	f.reporter.follower = follower.New(domainDecoder{})
	f.reporter.upsertPeer(Member{Name: "collector"}).live = true
	f.collector.receive(hostedEnvelope{From: Member{Name: "reporter", Incarnation: 2}, Kind: kindReport, Load: &messenger.PeerLoad{}})
	for range int(maxDepartureDelay / messageInterval) {
		f.advance(messageInterval)
		if _, ok := f.reporter.Upstream("u"); ok {
			t.Fatal("a restarted router uses an upstream in an emptied failure domain")
		}
	}
	f.empty("empty/a", true)
	f.advance(maxDepartureDelay)
	if _, ok := f.reporter.Upstream("u"); !ok {
		t.Error("the reporter does not use the upstream again")
	}
}

// TestOlderRouterReinstatesNothing guards against believing that no domain is emptied because a
// router of a release before evacuations sent the configuration without such rows.
func TestOlderRouterReinstatesNothing(t *testing.T) {
	f := newDomainFleet(t)
	f.empty("empty/a", false)
	version := f.collector.follower.Version(follower.ConfigurationTable)
	old := f.collector.upsertPeer(Member{Name: "old"})
	configuration := follower.Row{Key: "c", Version: version + 3}
	f.collector.mergePeerRows(old, []follower.Batch{
		{Table: follower.ConfigurationTable, Full: true, Version: version + 3, Rows: []follower.Row{configuration}},
		{Table: follower.ConfigurationTable, Since: version, Version: version + 3, Rows: []follower.Row{configuration}},
	})
	if _, ok := f.collector.Upstream("u"); ok {
		t.Error("an older router reinstated a failure domain")
	}
	if got := f.collector.follower.Version(follower.ConfigurationTable); got != version {
		t.Errorf("got version %d after rows of an older router, want %d: others may be missing", got, version)
	}
	if got := f.collector.follower.RowVersion(follower.ConfigurationTable, "c"); got != version+3 {
		t.Errorf("got row version %d, want the configuration of the older router at %d", got, version+3)
	}
}

// TestEvacuationIsLogged guards against changes without a log line: a domain is emptied and
// reinstated, and a row names no domain.
func TestEvacuationIsLogged(t *testing.T) {
	f := newDomainFleet(t)
	var out bytes.Buffer
	f.collector.log.SetOutput(&out)
	f.empty("empty/a", false)
	f.empty("empty/a", true)
	f.empty("empty/", false)
	for _, want := range []string{
		"domain=a emptied=true event=evacuation from=store rowVersion=2 upstreams=1",
		"domain=a emptied=false event=evacuation from=store rowVersion=3 upstreams=1",
		"event=rowRejected key=empty/ rowVersion=4",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("got log %q, want a line with %q", out.String(), want)
		}
	}
}
