package configurer

import (
	"encoding/json"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/orderer"
)

// Document is the configuration of the whole fleet: defaults, named entries and
// exceptions. It is read-only once parsed.
type Document struct {
	// Kind is "configuration" in a file; it distinguishes the types of settings
	// files.
	Kind string `json:"kind,omitempty"`
	// Version is the version of the document. In an operator's edit it is the
	// version on which the edit is based.
	Version uint64 `json:"version,omitempty"`
	// TimeZone applies to periods that name no time zone of their own.
	TimeZone string `json:"timeZone,omitempty"`
	// Account holds the defaults for client accounts.
	Account AccountSettings `json:"account"`
	// Accounts holds the client accounts; fields not set use the default.
	Accounts map[messenger.AccountID]AccountSettings `json:"accounts,omitempty"`
	// Classes holds the classes of requests.
	Classes map[messenger.ClassID]ClassSettings `json:"classes,omitempty"`
	// Pools holds the pools of upstreams.
	Pools map[messenger.PoolID]PoolSettings `json:"pools,omitempty"`
	// Upstreams holds the upstreams.
	Upstreams map[messenger.UpstreamID]UpstreamSettings `json:"upstreams,omitempty"`
	// Routes assigns requests to pools.
	Routes []Route `json:"routes,omitempty"`
	// Exceptions holds the exceptions to all of the above, by id.
	Exceptions map[string]Exception `json:"exceptions,omitempty"`
}

// AccountSettings holds the limits and the weight of a client account. Fields not
// set use the default.
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

// ClassSettings holds the scheduling settings of a class of requests.
type ClassSettings struct {
	Precedence      *int      `json:"precedence,omitempty"`
	Floor           *float64  `json:"floor,omitempty"`
	Long            *bool     `json:"long,omitempty"`
	ExpectedTokens  *float64  `json:"expectedTokens,omitempty"`
	Hedge           *bool     `json:"hedge,omitempty"`
	ProgressTimeout *Duration `json:"progressTimeout,omitempty"`
	QueueTimeout    *Duration `json:"queueTimeout,omitempty"`
	// Schedule overrides precedence and floor at certain hours; the first period
	// that contains the current time applies.
	Schedule []Period `json:"schedule,omitempty"`
}

// Period is a recurring part of the week with its own precedence and floor.
type Period struct {
	// Days are names from "mon" to "sun"; none means every day.
	Days []string `json:"days,omitempty"`
	// From and To are times of day such as "08:00". If To is not later than From,
	// the period ends on the next day.
	From string `json:"from"`
	To   string `json:"to"`
	// TimeZone is an IANA name; empty means the document's.
	TimeZone   string   `json:"timeZone,omitempty"`
	Precedence *int     `json:"precedence,omitempty"`
	Floor      *float64 `json:"floor,omitempty"`
}

// PoolSettings holds the settings of a pool of upstreams.
type PoolSettings struct {
	LongShare   *float64 `json:"longShare,omitempty"`
	HedgeBudget *float64 `json:"hedgeBudget,omitempty"`
	// State is the wanted state of the pool's engines, such as loaded models.
	State *orderer.State `json:"state,omitempty"`
}

// UpstreamSettings describes an upstream.
type UpstreamSettings struct {
	Pool    messenger.PoolID `json:"pool,omitempty"`
	Address string           `json:"address,omitempty"`
	Domain  string           `json:"domain,omitempty"`
	Window  *int             `json:"window,omitempty"`
	Engine  *bool            `json:"engine,omitempty"`
	Leaving *bool            `json:"leaving,omitempty"`
	NoLong  *bool            `json:"noLong,omitempty"`
	// MoveTo is the engine to which streams in progress are moved.
	MoveTo      messenger.UpstreamID `json:"moveTo,omitempty"`
	ChecksFence *bool                `json:"checksFence,omitempty"`
	// SoftwareVersion is the version of the upstream's software. Streams are moved between engines
	// with the same one only.
	SoftwareVersion string `json:"softwareVersion,omitempty"`
	// State replaces the pool's state completely.
	State *orderer.State `json:"state,omitempty"`
}

// Route sends requests under a path to a pool.
type Route struct {
	// Path is a prefix of the request's path; the longest matching prefix applies.
	Path string `json:"path"`
	// Methods are the accepted methods; none means every method.
	Methods []string         `json:"methods,omitempty"`
	Pool    messenger.PoolID `json:"pool"`
	// Class is the class of requests that do not name one.
	Class messenger.ClassID `json:"class"`
	// Classes are the other classes that a caller may choose.
	Classes []messenger.ClassID `json:"classes,omitempty"`
	// Idempotent allows a request to be sent to an upstream more than once.
	Idempotent bool `json:"idempotent,omitempty"`
	// Engine marks requests to model engines, whose streams can be resumed.
	Engine bool `json:"engine,omitempty"`
}

// Exception overrides settings within a scope. It records an author and a reason.
type Exception struct {
	Scope  Scope  `json:"scope"`
	Reason string `json:"reason"`
	Author string `json:"author"`
	// Until is when the exception ends; nil means never.
	Until *time.Time `json:"until,omitempty"`

	// At least one of the following is set.
	Account  *AccountSettings  `json:"account,omitempty"`
	Class    *ClassSettings    `json:"class,omitempty"`
	Pool     *PoolSettings     `json:"pool,omitempty"`
	Upstream *UpstreamSettings `json:"upstream,omitempty"`
}

// Scope selects what an exception applies to. Empty fields do not restrict it.
type Scope struct {
	Account  messenger.AccountID  `json:"account,omitempty"`
	Class    messenger.ClassID    `json:"class,omitempty"`
	Pool     messenger.PoolID     `json:"pool,omitempty"`
	Upstream messenger.UpstreamID `json:"upstream,omitempty"`
	// Router restricts the exception to one router.
	Router messenger.RouterID `json:"router,omitempty"`
	// Domain restricts an exception for upstreams to the upstreams in a failure
	// domain, and any other exception to the routers in that domain.
	Domain string `json:"domain,omitempty"`
}

// Duration is a time.Duration written as text, such as "1.5s".
type Duration time.Duration

// MarshalText encodes the duration as text.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText decodes a duration such as "1.5s".
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// JSON returns the document in canonical form: equal documents are encoded as equal
// bytes.
func (d *Document) JSON() []byte {
	data, err := json.Marshal(d)
	if err != nil {
		panic(err) // unreachable: every field can be encoded
	}
	return data
}
