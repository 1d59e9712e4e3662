package loader

import (
	"time"

	"github.com/sirupsen/logrus"
)

// Router is the settings of one router process.
type Router struct {
	Kind Kind `json:"kind"`
	// Name is unique in the fleet.
	Name string `json:"name"`
	// FailureDomain is where the router's VM stands.
	FailureDomain string `json:"failureDomain"`
	// Listeners are the addresses that the router serves.
	Listeners Listeners `json:"listeners"`
	Limits    Limits    `json:"limits"`
	// BalancerLag is how long the platform's balancer still sends connections
	// after the router said that it is not ready.
	BalancerLag time.Duration `json:"balancerLag"`
	// DrainLimit is the longest that a shutdown waits for requests in progress.
	DrainLimit time.Duration `json:"drainLimit"`
	// Platform is where the platform's service answers.
	Platform PlatformClient `json:"platform"`
	// PeerKey is the key that all routers of the fleet share; PeerKeyFile names
	// a file that holds it. One of the two is set.
	PeerKey     Secret `json:"peerKey"`
	PeerKeyFile string `json:"peerKeyFile"`
	// SeedPeers are peers' addresses to ask while the platform does not answer.
	SeedPeers []string   `json:"seedPeers"`
	Operators []Operator `json:"operators"`
	Control   Control    `json:"control"`
	// Retries bounds second sends over the whole fleet; used on a platform of
	// the interface "rows".
	Retries Retries `json:"retries"`
	// Memory is what the process may use, in MB; zero means no bound.
	Memory int `json:"memory"`
	// Processor is the processor time that the VM has, in cores; zero means that it is
	// not known. Used on a platform of the interface "rows".
	Processor float64 `json:"processor"`
	// FirstStart is true while the whole fleet starts for the first time; used on a
	// platform of the interface "rows".
	FirstStart bool `json:"firstStart"`
	// Quarantine sets by hand which prompt parts are quarantined.
	Quarantine Quarantine `json:"quarantine"`
	Metrics    Metrics    `json:"metrics"`
	Log        Log        `json:"log"`
}

// Quarantine sets by hand which prompt parts are quarantined, by their IDs as in logs.
type Quarantine struct {
	// Held are the parts that are quarantined without evidence.
	Held []string `json:"held"`
	// Exempt are the parts that are never quarantined by evidence.
	Exempt []string `json:"exempt"`
}

// Listeners are the addresses that a router serves.
type Listeners struct {
	// Callers is for client accounts.
	Callers Listener `json:"callers"`
	// Operators is for operators, probes and metrics.
	Operators Listener `json:"operators"`
	// Peers is for the other routers.
	Peers Listener `json:"peers"`
}

// Listener is one address that is served.
type Listener struct {
	// Address is host:port by IP number; port 0 takes a free one.
	Address string `json:"address"`
	// TLS is absent for plain TCP.
	TLS *TLS `json:"tls"`
}

// TLS names the files of a listener's identity, in PEM.
type TLS struct {
	CertFile string `json:"certFile"`
	KeyFile  string `json:"keyFile"`
	// CAFile names the authority that the other side's certificate must come
	// from; empty asks for no certificate.
	CAFile string `json:"caFile"`
}

// Limits bound what callers may make a router hold.
type Limits struct {
	MaxHeaderBytes int `json:"maxHeaderBytes"`
	MaxBodyBytes   int `json:"maxBodyBytes"`
	// MaxHeldBytes bounds what the router holds for all clients and upstreams together,
	// MaxHeldConnBytes what it holds of one connection's requests, and MaxHeldClientBytes the
	// large requests from one address. Zero means a share of the memory.
	MaxHeldBytes       int `json:"maxHeldBytes"`
	MaxHeldConnBytes   int `json:"maxHeldConnBytes"`
	MaxHeldClientBytes int `json:"maxHeldClientBytes"`
	// MaxPendingBytes bounds an answer's bytes that a slow caller has not read.
	MaxPendingBytes int `json:"maxPendingBytes"`
	MaxConnections  int `json:"maxConnections"`
	// MaxOpenFiles is how many files and sockets the process may open; half of
	// them are for callers. Zero means no bound.
	MaxOpenFiles int `json:"maxOpenFiles"`
	// ReadTimeout is the longest that one request may take to arrive.
	ReadTimeout time.Duration `json:"readTimeout"`
	// IdleTimeout is how long a connection without a request stays open.
	IdleTimeout time.Duration `json:"idleTimeout"`
}

// PlatformClient says where the platform's service answers.
type PlatformClient struct {
	Address string `json:"address"`
	// Interface is what the platform speaks.
	Interface Interface `json:"interface"`
	// Timeout bounds one call.
	Timeout time.Duration `json:"timeout"`
}

// Interface names what a platform speaks.
type Interface string

// The interfaces of platforms.
const (
	// InterfaceStore is the table service that the stand-in shows: the fleet
	// keeps its own configuration there.
	InterfaceStore Interface = "store"
	// InterfaceRows is the users' platform, which keeps the configuration and
	// the list of upstreams as rows.
	InterfaceRows Interface = "rows"
)

// Values returns every interface.
func (Interface) Values() []string { return []string{string(InterfaceStore), string(InterfaceRows)} }

// Retries bounds how many requests are sent more than once.
type Retries struct {
	// Ratio is the share of the requests of a pool in a window, and Extra how
	// many more the whole fleet may send again.
	Ratio  float64       `json:"ratio"`
	Extra  float64       `json:"extra"`
	Window time.Duration `json:"window"`
}

// Operator is a person who may use the operators' API.
type Operator struct {
	// Name is the author that history shows.
	Name string `json:"name"`
	// TokenDigest is the SHA-256 of the bearer token, in 64 hexadecimal digits.
	TokenDigest string `json:"tokenDigest"`
}

// Control bounds the traffic between routers.
type Control struct {
	// BytesPerSecond is what one router sends to all others together.
	BytesPerSecond int `json:"bytesPerSecond"`
}

// Metrics bounds the number of series.
type Metrics struct {
	// Accounts is how many client accounts have series of their own at a time.
	Accounts int `json:"accounts"`
}

// Log says what is logged.
type Log struct {
	Level Level `json:"level"`
}

// Level is the lowest severity that is logged.
type Level string

// Values returns every level.
func (Level) Values() []string { return []string{"debug", "info", "warning", "error"} }

// Logrus returns the level as logrus knows it; the zero value means info.
func (l Level) Logrus() logrus.Level {
	level, err := logrus.ParseLevel(string(l))
	if err != nil {
		return logrus.InfoLevel
	}
	return level
}

// Platform is the settings of the stand-in for the platform.
type Platform struct {
	Kind    Kind   `json:"kind"`
	Address string `json:"address"`
	// ConfigurationFile is the fleet configuration that the table starts with.
	ConfigurationFile string `json:"configurationFile"`
	// VMs is the list of VMs that the platform shows.
	VMs []VM `json:"vms"`
	// VMListLag is how late the list shows a change.
	VMListLag time.Duration  `json:"vmListLag"`
	Faults    PlatformFaults `json:"faults"`
	Log       Log            `json:"log"`
}

// VM is one entry of the platform's list.
type VM struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	Leaving       bool   `json:"leaving"`
}

// PlatformFaults are the faults that the stand-in starts with.
type PlatformFaults struct {
	// Down makes every call fail.
	Down bool `json:"down"`
	// Delay is added to every call.
	Delay time.Duration `json:"delay"`
	// LostAnswers is the share, 0 to 1, of writes that take effect while their
	// answer is lost.
	LostAnswers float64 `json:"lostAnswers"`
}

// Worker is the settings of the stand-in for a model engine.
type Worker struct {
	Kind    Kind   `json:"kind"`
	Name    string `json:"name"`
	Address string `json:"address"`
	// Slots is how many requests the engine batches.
	Slots int `json:"slots"`
	// PrefillPerToken is the time to read one token of a prompt.
	PrefillPerToken time.Duration `json:"prefillPerToken"`
	// StepTime is the time of one step, in which each running stream gets one
	// token, and StepTimePerStream is what each of them adds to it.
	StepTime          time.Duration `json:"stepTime"`
	StepTimePerStream time.Duration `json:"stepTimePerStream"`
	// CacheTokens is the memory for prompt prefixes.
	CacheTokens int `json:"cacheTokens"`
	// LoadLag is how old a load report is.
	LoadLag time.Duration `json:"loadLag"`
	// CacheLag is how late a cache event is published.
	CacheLag time.Duration `json:"cacheLag"`
	// CacheLoss is the share, 0 to 1, of cache events that go missing.
	CacheLoss float64 `json:"cacheLoss"`
	// ResumeGrace is how long a stream runs on without a connection.
	ResumeGrace time.Duration `json:"resumeGrace"`
	// ChecksFence is whether the engine refuses old fencing numbers.
	ChecksFence bool `json:"checksFence"`
	// Models are loaded at the start.
	Models []string `json:"models"`
	// Seed makes the random choices repeatable.
	Seed uint64 `json:"seed"`
	Log  Log    `json:"log"`
}

// Service is the settings of the stand-in for a plain service.
type Service struct {
	Kind    Kind   `json:"kind"`
	Name    string `json:"name"`
	Address string `json:"address"`
	// Slots is how many calls run at a time.
	Slots int `json:"slots"`
	// TimePerCall is how long one call runs.
	TimePerCall time.Duration `json:"timePerCall"`
	// LoadLag is how old a load report is.
	LoadLag time.Duration `json:"loadLag"`
	// Seed makes the random choices repeatable.
	Seed uint64 `json:"seed"`
	Log  Log    `json:"log"`
}
