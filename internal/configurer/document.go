package configurer

import (
	"encoding/json"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/orderer"
)

// Document is the configuration of the whole fleet: defaults and a short list
// of exceptions. It is read-only once parsed.
type Document struct {
	// Kind is "configuration" in a file; it tells settings files apart.
	Kind string `json:"kind,omitempty"`
	// Version is the version of the document; an operator's edit carries the
	// version it was made from.
	Version uint64 `json:"version,omitempty"`
	// TimeZone is where schedules apply that name no other zone.
	TimeZone string `json:"timeZone,omitempty"`
	// Account holds the defaults for client accounts.
	Account AccountSettings `json:"account"`
	// Accounts holds the client accounts; what one leaves out is the default.
	Accounts map[messenger.AccountID]AccountSettings `json:"accounts,omitempty"`
	// Classes holds the classes of requests.
	Classes map[messenger.ClassID]ClassSettings `json:"classes,omitempty"`
	// Pools holds the pools of upstreams.
	Pools map[messenger.PoolID]PoolSettings `json:"pools,omitempty"`
	// Upstreams holds the upstreams.
	Upstreams map[messenger.UpstreamID]UpstreamSettings `json:"upstreams,omitempty"`
	// Routes says which requests go to which pool.
	Routes []Route `json:"routes,omitempty"`
	// Exceptions holds the deviations from all of the above, by their ids.
	Exceptions map[string]Exception `json:"exceptions,omitempty"`
}

// AccountSettings are what a client account may use. A field left out means
// the default.
type AccountSettings struct {
	// Tokens are the SHA-256 digests, in hex, of the account's bearer tokens.
	Tokens            []string `json:"tokens,omitempty"`
	Weight            *float64 `json:"weight,omitempty"`
	RequestsPerSecond *float64 `json:"requestsPerSecond,omitempty"`
	Burst             *int     `json:"burst,omitempty"`
	Concurrency       *int     `json:"concurrency,omitempty"`
	TokensPerMinute   *float64 `json:"tokensPerMinute,omitempty"`
	QueueLength       *int     `json:"queueLength,omitempty"`
}

// ClassSettings say how a class of requests is treated.
type ClassSettings struct {
	Precedence      *int      `json:"precedence,omitempty"`
	Floor           *float64  `json:"floor,omitempty"`
	Long            *bool     `json:"long,omitempty"`
	ExpectedTokens  *float64  `json:"expectedTokens,omitempty"`
	Hedge           *bool     `json:"hedge,omitempty"`
	ProgressTimeout *Duration `json:"progressTimeout,omitempty"`
	QueueTimeout    *Duration `json:"queueTimeout,omitempty"`
	// Schedule changes precedence and floor at certain hours; the first
	// period that covers the time applies.
	Schedule []Period `json:"schedule,omitempty"`
}

// Period is a part of the week with a precedence and floor of its own.
type Period struct {
	// Days are "mon" to "sun"; none means every day.
	Days []string `json:"days,omitempty"`
	// From and To are times of day such as "08:00"; a period whose To is not
	// after From runs past midnight.
	From string `json:"from"`
	To   string `json:"to"`
	// TimeZone is an IANA name; empty means the document's.
	TimeZone   string   `json:"timeZone,omitempty"`
	Precedence *int     `json:"precedence,omitempty"`
	Floor      *float64 `json:"floor,omitempty"`
}

// PoolSettings say how a pool of upstreams is used.
type PoolSettings struct {
	LongShare   *float64 `json:"longShare,omitempty"`
	HedgeBudget *float64 `json:"hedgeBudget,omitempty"`
	// State is what the pool's engines should have loaded and do.
	State *orderer.State `json:"state,omitempty"`
}

// UpstreamSettings describe an upstream.
type UpstreamSettings struct {
	Pool    messenger.PoolID `json:"pool,omitempty"`
	Address string           `json:"address,omitempty"`
	Domain  string           `json:"domain,omitempty"`
	Window  *int             `json:"window,omitempty"`
	Engine  *bool            `json:"engine,omitempty"`
	Leaving *bool            `json:"leaving,omitempty"`
	NoLong  *bool            `json:"noLong,omitempty"`
	// MoveTo is the engine that streams in progress are to be moved to.
	MoveTo      messenger.UpstreamID `json:"moveTo,omitempty"`
	ChecksFence *bool                `json:"checksFence,omitempty"`
	// State replaces the pool's, as a whole.
	State *orderer.State `json:"state,omitempty"`
}

// Route sends requests under a path to a pool.
type Route struct {
	// Path is a prefix of the request's path; the longest that fits applies.
	Path string `json:"path"`
	// Methods are the methods served; none means every method.
	Methods []string         `json:"methods,omitempty"`
	Pool    messenger.PoolID `json:"pool"`
	// Class is the class of requests that choose none.
	Class messenger.ClassID `json:"class"`
	// Classes are the other classes that a caller may choose.
	Classes []messenger.ClassID `json:"classes,omitempty"`
	// Idempotent allows a request to be sent more than once.
	Idempotent bool `json:"idempotent,omitempty"`
	// Engine marks requests to model engines: streams that can be resumed.
	Engine bool `json:"engine,omitempty"`
}

// Exception deviates from the defaults within a scope, for a reason.
type Exception struct {
	Scope  Scope  `json:"scope"`
	Reason string `json:"reason"`
	Author string `json:"author"`
	// Until ends the exception; nil means that it stays.
	Until *time.Time `json:"until,omitempty"`

	// One or more of the following is set.
	Account  *AccountSettings  `json:"account,omitempty"`
	Class    *ClassSettings    `json:"class,omitempty"`
	Pool     *PoolSettings     `json:"pool,omitempty"`
	Upstream *UpstreamSettings `json:"upstream,omitempty"`
}

// Scope says what an exception applies to. Fields that are empty do not
// narrow it.
type Scope struct {
	Account  messenger.AccountID  `json:"account,omitempty"`
	Class    messenger.ClassID    `json:"class,omitempty"`
	Pool     messenger.PoolID     `json:"pool,omitempty"`
	Upstream messenger.UpstreamID `json:"upstream,omitempty"`
	// Router narrows an exception to one router.
	Router messenger.RouterID `json:"router,omitempty"`
	// Domain narrows a change of upstreams to those that stand in a failure
	// domain, and any other change to the routers that do.
	Domain string `json:"domain,omitempty"`
}

// Duration is a time.Duration written as text, such as "1.5s".
type Duration time.Duration

// MarshalText writes the duration as text.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads a duration such as "1.5s".
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// JSON returns the document in its canonical form: the same document always
// gives the same bytes.
func (d *Document) JSON() []byte {
	data, err := json.Marshal(d)
	if err != nil {
		panic(err) // every field can be written
	}
	return data
}
