package router

import (
	"testing"
	"time"
)

const (
	// maxDetectionTime is the time within which a router must notice that the store's answers
	// no longer reach it; the platform allows three seconds in small fleets.
	maxDetectionTime = 3 * time.Second
	// overdueWait is how long a router waits for an answer after the maximum wait of the long
	// poll has passed.
	overdueWait = time.Second
)

// TestHungStoreConnectionIsDetectedInTime covers the case that the connections of all store
// followers hang: each must give up its call within the limit, whatever the size of the fleet.
func TestHungStoreConnectionIsDetectedInTime(t *testing.T) {
	for _, routers := range []int64{1, 8, 62, 295} {
		h := newTwoRouterFleet(t).collector
		h.peerCount.Store(routers - 1)
		if got := h.feedWait() + overdueWait; got >= maxDetectionTime {
			t.Errorf("%d routers: a call for changes times out after %v, want less than %v", routers, got, maxDetectionTime)
		}
	}
}

// TestDelegatingRouterRarelyCallsTheStore covers a router that only asks the store for changes
// that other routers did not send.
func TestDelegatingRouterRarelyCallsTheStore(t *testing.T) {
	h := newTwoRouterFleet(t).reporter
	h.peerCount.Store(294)
	followerWait := h.feedWait()
	h.storeDelegated.Store(true)
	if got := h.feedWait(); got < 5*followerWait {
		t.Errorf("a call waits %v, want at least five times the %v of a store follower: for each store follower there are fifty delegating routers", got, followerWait)
	}
}
