// Package operator is the HTTP API through which operators steer the fleet:
// its paths and messages, the client that the commands use, and the handler
// that a router serves. Any router answers for the whole fleet.
//
// Requests carry a bearer token. Errors are problem documents of RFC 9457; see
// Problem. A change carries a random id, so that it is applied once even if it
// is sent again because an answer was lost.
//
// # Usage
//
// In a command:
//
//	client := operator.NewClient(operator.ClientConfig{Routers: []string{"10.0.0.1:7080"}, Token: token})
//	cfg, err := client.Config(ctx)
//
// In a router:
//
//	handler := operator.NewHandler(backend, &operators)
package operator

import (
	"encoding/json"
	"time"
)

// Paths of the API.
const (
	PathHealth          = "/healthz"
	PathReady           = "/readyz"
	PathMetrics         = "/metrics"
	PathConfig          = "/v1/config"
	PathExceptions      = "/v1/config/exceptions"
	PathHistory         = "/v1/config/history"
	PathRevert          = "/v1/config/revert"
	PathVersions        = "/v1/config/versions"
	PathStatus          = "/v1/status"
	PathAccounts        = "/v1/status/accounts"
	PathDrains          = "/v1/drains"
	PathEvacuations     = "/v1/evacuations"
	PathEvacuationPause = "/v1/evacuations/pause"
)

// Change describes one accepted version of the configuration.
type Change struct {
	Version uint64    `json:"version"`
	Author  string    `json:"author"`
	Reason  string    `json:"reason"`
	Changed time.Time `json:"changed"`
	// ChangeID is the id that the client gave to the change.
	ChangeID string `json:"changeId,omitempty"`
	// Summary says in a few words what was changed.
	Summary string `json:"summary,omitempty"`
}

// Config is the configuration at one version.
type Config struct {
	Change
	// Document is the fleet configuration: defaults and exceptions.
	Document json.RawMessage `json:"document"`
}

// Precondition makes a change conditional on the version that the operator
// read, and makes it safe to send again.
type Precondition struct {
	IfVersion uint64 `json:"ifVersion"`
	ChangeID  string `json:"changeId"`
	Reason    string `json:"reason"`
}

// SetConfig replaces the whole configuration.
type SetConfig struct {
	Precondition
	Document json.RawMessage `json:"document"`
}

// AddException adds one exception to the defaults, or replaces the one with
// the same id.
type AddException struct {
	Precondition
	ID string `json:"id"`
	// Exception is its scope, its end and what it changes.
	Exception json.RawMessage `json:"exception"`
}

// RemoveException takes one exception back.
type RemoveException struct {
	Precondition
	ID string `json:"id"`
}

// Revert writes the document of an earlier version as a new version.
type Revert struct {
	Precondition
	ToVersion uint64 `json:"toVersion"`
}

// History is the newest changes, newest first.
type History struct {
	Changes []Change `json:"changes"`
}

// Versions says which router runs which version.
type Versions struct {
	// Newest is the newest accepted version that the answering router knows.
	Newest  uint64          `json:"newest"`
	Routers []RouterVersion `json:"routers"`
}

// RouterVersion is the version in force at one router.
type RouterVersion struct {
	Router        string `json:"router"`
	FailureDomain string `json:"failureDomain"`
	Version       uint64 `json:"version"`
	// Alive is false while the answering router does not hear of it.
	Alive bool `json:"alive"`
	// Heard is when the answering router last heard of it.
	Heard time.Time `json:"heard"`
}

// Drain asks that an upstream gets no new work.
type Drain struct {
	Precondition
	Upstream string `json:"upstream"`
}

// Evacuate asks that a site is emptied by a date.
type Evacuate struct {
	Precondition
	// Name is the name of the plan.
	Name string `json:"name"`
	// Site is the failure domain to be emptied.
	Site string    `json:"site"`
	By   time.Time `json:"by"`
	// LongestRunSeconds is how long the longest work may run.
	LongestRunSeconds float64 `json:"longestRunSeconds"`
}

// PauseEvacuation pauses a plan or lets it go on.
type PauseEvacuation struct {
	Precondition
	Name   string `json:"name"`
	Paused bool   `json:"paused"`
}

// Evacuations are all plans that empty sites.
type Evacuations struct {
	Plans []Evacuation `json:"plans"`
}

// Evacuation is a plan that empties a site, and its progress.
type Evacuation struct {
	Name   string    `json:"name"`
	Site   string    `json:"site"`
	By     time.Time `json:"by"`
	Author string    `json:"author"`
	Reason string    `json:"reason"`
	Paused bool      `json:"paused"`
	// Remaining is how many upstreams are not empty yet.
	Remaining int `json:"remaining"`
	// Finish is the expected time, Latest one that is rarely passed; absent
	// while too little was seen to say.
	Finish *time.Time `json:"finish,omitempty"`
	Latest *time.Time `json:"latest,omitempty"`
	// AtRisk is true if Latest is after By.
	AtRisk bool              `json:"atRisk"`
	Steps  []EvacuationStep  `json:"steps"`
	Log    []EvacuationEvent `json:"log"`
}

// EvacuationStep is the replacement of one upstream.
type EvacuationStep struct {
	Upstream    string    `json:"upstream"`
	Replacement string    `json:"replacement"`
	Phase       string    `json:"phase"`
	Since       time.Time `json:"since"`
}

// EvacuationEvent is one line of a plan's log.
type EvacuationEvent struct {
	Time time.Time `json:"time"`
	Text string    `json:"text"`
}
