package operator

import (
	"time"

	"lentilwood.example/lentilwood/internal/scheduler"
)

// Status is the fleet as the answering router sees it.
type Status struct {
	Router        string    `json:"router"`
	FailureDomain string    `json:"failureDomain"`
	Version       uint64    `json:"version"`
	Ready         bool      `json:"ready"`
	Started       time.Time `json:"started"`
	// StoreReachable is false while the platform's service does not answer.
	StoreReachable bool             `json:"storeReachable"`
	Routers        []RouterVersion  `json:"routers"`
	Upstreams      []UpstreamStatus `json:"upstreams"`
	// Quarantined are the IDs of the prompt parts that are quarantined because they end the
	// upstreams that answer on them.
	Quarantined []string `json:"quarantined,omitempty"`
	// Scheduler is the state of the queues and slots.
	Scheduler scheduler.Snapshot `json:"scheduler"`
	// Evacuated are the failure domains whose upstreams get no new requests because the operator
	// empties them by rows of the platform's store.
	Evacuated []EvacuatedDomain `json:"evacuated,omitempty"`
}

// EvacuatedDomain is a failure domain that the operator empties, as one router knows it.
type EvacuatedDomain struct {
	FailureDomain string `json:"failureDomain"`
	// RowVersion is the version of the row that empties it.
	RowVersion uint64 `json:"rowVersion"`
	Upstreams  int    `json:"upstreams"`
	// Running counts the requests of this router that have not ended there.
	Running int `json:"running"`
}

// UpstreamStatus is one upstream as the answering router sees it.
type UpstreamStatus struct {
	Upstream      string `json:"upstream"`
	Pool          string `json:"pool"`
	FailureDomain string `json:"failureDomain"`
	// Window is how many requests the fleet gives it at a time.
	Window int `json:"window"`
	// Slots is how many of them the answering router may give it, and Running
	// how many it does.
	Slots   int  `json:"slots"`
	Running int  `json:"running"`
	Leaving bool `json:"leaving"`
}

// AccountStatus is one client account as the answering router sees it, and so
// why its requests wait.
type AccountStatus struct {
	Router string `json:"router"`
	scheduler.Explanation
}
