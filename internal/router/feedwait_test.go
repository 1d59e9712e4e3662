package router

import (
	"testing"
	"time"
)

const (
	// silenceBound is within what time a router has to notice that the store's answers
	// do not reach it any more: the platform allows three seconds in small fleets.
	silenceBound = 3 * time.Second
	// storeSlack is how long a router waits for an answer that is overdue.
	storeSlack = time.Second
)

// TestFollowersHearOfASilentConnectionInTime has the connections of all routers that follow
// the store closely deliver nothing any more: a new call is made within the bound, however
// large the fleet is.
func TestFollowersHearOfASilentConnectionInTime(t *testing.T) {
	for _, routers := range []int64{1, 8, 62, 295} {
		h := newNewsFleet(t).teller
		h.peerCount.Store(routers - 1)
		if got := h.feedWait() + storeSlack; got >= silenceBound {
			t.Errorf("%d routers: a call for changes is given up after %v, want less than %v", routers, got, silenceBound)
		}
	}
}

// TestRouterThatLeavesTheStoreToOthersAsksSeldom has one that others tell of changes ask for
// what they did not tell it.
func TestRouterThatLeavesTheStoreToOthersAsksSeldom(t *testing.T) {
	h := newNewsFleet(t).told
	h.peerCount.Store(294)
	following := h.feedWait()
	h.storeDelegated.Store(true)
	if got := h.feedWait(); got < 5*following {
		t.Errorf("a call waits %v, want at least five times the %v of one that follows for all: there are fifty times as many", got, following)
	}
}
