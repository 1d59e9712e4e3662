package follower

import (
	"errors"
	"strings"
	"testing"
	"time"

	"lentilwood.example/lentilwood/internal/matcher"
	"lentilwood.example/lentilwood/internal/messenger"
)

var epoch = time.Unix(1_700_000_000, 0)

// plainDecoder reads "N" as version N of a configuration with the pool "p",
// and "ready" or "leaving" as a registration for it.
type plainDecoder struct{}

func (plainDecoder) Configuration(value []byte) (*Configuration, error) {
	version := uint64(len(value))
	if strings.HasPrefix(string(value), "bad") {
		return nil, errors.New("unreadable")
	}
	return &Configuration{
		Table: matcher.New(version, nil, nil),
		Pools: map[messenger.PoolID]messenger.PoolPolicy{"p": {}},
	}, nil
}

func (plainDecoder) Registration(_ string, value []byte) (messenger.UpstreamPolicy, error) {
	switch string(value) {
	case "ready", "leaving":
		return messenger.UpstreamPolicy{Pool: "p", Leaving: string(value) == "leaving"}, nil
	}
	return messenger.UpstreamPolicy{}, errors.New("unreadable")
}

func configured(t *testing.T) *Follower {
	t.Helper()
	f := New(plainDecoder{})
	f.Merge(epoch, Batch{Table: ConfigurationTable, Full: true, Version: 5, Rows: []Row{{Key: "c", Value: []byte("xxx"), Version: 5}}})
	f.Merge(epoch, Batch{Table: RegistrationTable, Full: true, Version: 9, Rows: []Row{
		{Key: "u1", Value: []byte("ready"), Version: 6}, {Key: "u2", Value: []byte("ready"), Version: 9},
	}})
	if got := len(f.Snapshot().Policy.Upstreams); got != 2 {
		t.Fatalf("got %d upstreams, want 2", got)
	}
	return f
}

func TestOlderConfigurationNeverReturns(t *testing.T) {
	f := configured(t)
	for _, row := range []Row{
		{Key: "c", Value: []byte("x"), Version: 4},
		{Key: "c", Value: []byte("xx"), Version: 7},
		{Key: "c", Value: []byte("bad"), Version: 8},
		{Key: "c", Deleted: true, Version: 9},
	} {
		f.Merge(epoch, Batch{Table: ConfigurationTable, Rows: []Row{row}})
		if got := f.Snapshot().Table.Version(); got != 3 {
			t.Errorf("after %+v: got version %d, want 3", row, got)
		}
	}
	if got := len(f.TakeRejected()); got != 1 {
		t.Errorf("got %d rejected rows, want 1", got)
	}
}

func TestUnreadableRegistrationNamesNoUpstream(t *testing.T) {
	f := configured(t)
	f.Merge(epoch, Batch{Table: RegistrationTable, Rows: []Row{{Key: "u1", Value: []byte("?"), Version: 12}}})
	if _, ok := f.Snapshot().Policy.Upstreams["u1"]; ok {
		t.Error("an unreadable registration names an upstream")
	}
	if _, ok := f.Snapshot().Policy.Upstreams["u2"]; !ok {
		t.Error("the other registrations do not hold")
	}
}

func TestDroppedRegistrationIsGoneAtOnce(t *testing.T) {
	f := configured(t)
	f.Merge(epoch, Batch{Table: RegistrationTable, Rows: []Row{{Key: "u1", Deleted: true, Version: 12}}})
	if _, ok := f.Snapshot().Policy.Upstreams["u1"]; ok {
		t.Error("a dropped registration still names an upstream")
	}
}

// TestRegistrationsSurviveTheStoresAbsence has the store drop all rows while it
// is away, and one upstream come back after it.
func TestRegistrationsSurviveTheStoresAbsence(t *testing.T) {
	f := configured(t)
	now := epoch.Add(4 * time.Second)
	f.Merge(now, Batch{Table: RegistrationTable, Full: true, Version: 20, AfterOutage: true})
	if got := len(f.Snapshot().Policy.Upstreams); got != 2 {
		t.Fatalf("right after the return: got %d upstreams, want 2", got)
	}
	f.Merge(now.Add(time.Second), Batch{Table: RegistrationTable, Rows: []Row{{Key: "u2", Value: []byte("ready"), Version: 22}}})
	now = now.Add(returnTime)
	if !f.ExpireRegistrations(now) {
		t.Error("nothing expired, want u1 gone")
	}
	got := f.Snapshot().Policy.Upstreams
	if _, ok := got["u2"]; !ok || len(got) != 1 {
		t.Errorf("got %v, want u2 alone", got)
	}
}

// TestDropAfterTheReturnCountsAtOnce has an upstream leave shortly after the
// store is back: it must get nothing more, though others may come back.
func TestDropAfterTheReturnCountsAtOnce(t *testing.T) {
	f := configured(t)
	now := epoch.Add(4 * time.Second)
	f.Merge(now, Batch{Table: RegistrationTable, Version: 10, AfterOutage: true})
	f.Merge(now.Add(time.Second), Batch{Table: RegistrationTable, Rows: []Row{{Key: "u1", Deleted: true, Version: 12}}})
	if _, ok := f.Snapshot().Policy.Upstreams["u1"]; ok {
		t.Error("an upstream that left after the store's return still gets work")
	}
}

// TestRoutersPassOnNoDoubtfulDrops has a router that caught up ask another to
// wait no less than itself.
func TestRoutersPassOnNoDoubtfulDrops(t *testing.T) {
	f := configured(t)
	f.Merge(epoch, Batch{Table: RegistrationTable, Rows: []Row{{Key: "u1", Deleted: true, Version: 12}}, AfterOutage: true})
	if got := len(f.ChangesSince(RegistrationTable, 9).Rows); got != 0 {
		t.Errorf("got %d rows for a router that lags, want none yet", got)
	}
	f.ExpireRegistrations(epoch.Add(returnTime))
	if got := len(f.ChangesSince(RegistrationTable, 9).Rows); got != 1 {
		t.Errorf("got %d rows after the wait, want 1", got)
	}
}

func TestPeersFillInWhatIsMissing(t *testing.T) {
	behind, ahead := configured(t), configured(t)
	ahead.Merge(epoch, Batch{Table: RegistrationTable, Rows: []Row{{Key: "u1", Value: []byte("leaving"), Version: 30}}})
	news := ahead.ChangesSince(RegistrationTable, behind.Version(RegistrationTable))
	if len(news.Rows) != 1 {
		t.Fatalf("got %d rows, want 1", len(news.Rows))
	}
	behind.Merge(epoch, news)
	if !behind.Snapshot().Policy.Upstreams["u1"].Leaving {
		t.Error("u1 is not leaving at the router that lagged")
	}
	if behind.Merge(epoch, news) {
		t.Error("the same rows again changed something")
	}
}

// TestDoubtedDropThatAnotherRouterIsSureOfCountsAtOnce has a router doubt that an upstream
// is gone, as it could not ask the store for a while, and another one tell it that it is.
func TestDoubtedDropThatAnotherRouterIsSureOfCountsAtOnce(t *testing.T) {
	f, sure := configured(t), configured(t)
	drop := Row{Key: "u1", Deleted: true, Version: 12}
	f.Merge(epoch, Batch{Table: RegistrationTable, Rows: []Row{drop}, Since: 9, Version: 12, AfterOutage: true})
	sure.Merge(epoch, Batch{Table: RegistrationTable, Rows: []Row{drop}, Since: 9, Version: 12})
	if !f.Merge(epoch, sure.ChangesSince(RegistrationTable, f.Version(RegistrationTable))) {
		t.Error("got no change by a drop that is doubted no more")
	}
	if _, ok := f.Snapshot().Policy.Upstreams["u1"]; ok {
		t.Error("an upstream is in use that another router is sure has left")
	}
	if got, want := f.Version(RegistrationTable), uint64(12); got != want {
		t.Errorf("got version %d, want %d: nothing is doubted any more", got, want)
	}
}

// TestDoubtedDropInAWholeTableOfAnotherRouterCountsAtOnce has the same said by a table in
// which the upstream is missing.
func TestDoubtedDropInAWholeTableOfAnotherRouterCountsAtOnce(t *testing.T) {
	f := configured(t)
	f.Merge(epoch, Batch{Table: RegistrationTable, Rows: []Row{{Key: "u1", Deleted: true, Version: 12}}, Since: 9, Version: 12, AfterOutage: true})
	f.Merge(epoch, Batch{Table: RegistrationTable, UnchangedKeys: []string{"u2"}, Full: true, Version: 13})
	if _, ok := f.Snapshot().Policy.Upstreams["u1"]; ok {
		t.Error("an upstream is in use that is missing in the whole table of another router")
	}
}

// TestUnreadableRowIsNoUpstreamAfterItsDropEither has a row that can't be read follow a
// sound one, and be dropped while the store is away.
func TestUnreadableRowIsNoUpstreamAfterItsDropEither(t *testing.T) {
	f := configured(t)
	f.Merge(epoch, Batch{Table: RegistrationTable, Rows: []Row{{Key: "u1", Value: []byte("?"), Version: 12}}, Since: 9, Version: 12})
	f.Merge(epoch, Batch{Table: RegistrationTable, Rows: []Row{{Key: "u1", Deleted: true, Version: 13}}, Since: 12, Version: 13, AfterOutage: true})
	if _, ok := f.Snapshot().Policy.Upstreams["u1"]; ok {
		t.Error("an upstream is in use again after the drop of a row that named none")
	}
}
