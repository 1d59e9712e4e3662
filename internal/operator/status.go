package operator

import "time"

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
	Accounts       []AccountSummary `json:"accounts"`
	Upstreams      []UpstreamStatus `json:"upstreams"`
}

// AccountSummary is one client account at the answering router.
type AccountSummary struct {
	Account string  `json:"account"`
	Weight  float64 `json:"weight"`
	Waiting int     `json:"waiting"`
	Running int     `json:"running"`
	// Tokens is the service given so far.
	Tokens  float64 `json:"tokens"`
	Refused uint64  `json:"refused"`
}

// UpstreamStatus is one upstream as the answering router sees it.
type UpstreamStatus struct {
	Upstream      string `json:"upstream"`
	Pool          string `json:"pool"`
	FailureDomain string `json:"failureDomain"`
	// Window is how many requests the fleet gives it at a time.
	Window int `json:"window"`
	// Running counts the requests of the answering router.
	Running int  `json:"running"`
	Leaving bool `json:"leaving"`
	// Slow is true while its window is reduced.
	Slow bool `json:"slow"`
}

// AccountStatus is one client account in detail.
type AccountStatus struct {
	AccountSummary
	Classes []ClassStatus `json:"classes"`
}

// ClassStatus is one class of requests of a client account.
type ClassStatus struct {
	Class    string `json:"class"`
	Waiting  int    `json:"waiting"`
	Running  int    `json:"running"`
	Requests uint64 `json:"requests"`
	Refused  uint64 `json:"refused"`
}
