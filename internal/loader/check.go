package loader

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"net/netip"
	"regexp"
	"strings"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
	"lentilwood.example/lentilwood/internal/parser"
)

const (
	allowedName    = "1 to 63 letters, digits, '.', '_' or '-', beginning with a letter or digit"
	allowedAddress = `host:port with an IP number, such as "127.0.0.1:8080"`
	digestBytes    = 32
	minKeyBytes    = 16
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

func allowedKinds() string { return "one of " + strings.Join(Kind("").Values(), ", ") }

func (c checker) name(path, name string) {
	if name == "" {
		c.missing(path, allowedName)
		return
	}
	if !namePattern.MatchString(name) {
		c.Add(path, fmt.Sprintf("has the value %q", name), allowedName)
	}
}

// missing reports a required field, unless it stands in the file with another
// finding.
func (c checker) missing(path, allowed string) {
	if !c.Has(path) {
		c.Add(path, "is missing", allowed)
		return
	}
	if !c.Reported(path) {
		c.Add(path, "is empty", allowed)
	}
}

func (c checker) address(path, address string) {
	if address == "" {
		c.missing(path, allowedAddress)
		return
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		c.Add(path, fmt.Sprintf("has the value %q", address), allowedAddress)
	}
}

func atLeast[T cmp.Ordered](c checker, path string, got, lowest T) {
	if got < lowest {
		c.Add(path, fmt.Sprintf("is %v", got), fmt.Sprintf("%v or more", lowest))
	}
}

func (c checker) share(path string, got float64) {
	if got < 0 || got > 1 {
		c.Add(path, fmt.Sprintf("is %v", got), "a share from 0 to 1")
	}
}

func (c checker) parts(path string, ids []string) {
	for i, id := range ids {
		if _, err := messenger.ParseContentID(id); err != nil {
			c.Add(parser.Index(path, i), fmt.Sprintf("has the value %q", id), "the ID of a prompt part as in logs, up to 16 hexadecimal digits")
		}
	}
}

func (c checker) listener(path string, l Listener) {
	c.address(parser.Join(path, "address"), l.Address)
	if l.TLS == nil {
		return
	}
	at := parser.Join(path, "tls")
	if l.TLS.CertFile == "" {
		c.missing(parser.Join(at, "certFile"), "the file of a certificate in PEM")
	}
	if l.TLS.KeyFile == "" {
		c.missing(parser.Join(at, "keyFile"), "the file of a private key in PEM")
	}
}

func checkRouter(c checker, s *Router) {
	c.name("name", s.Name)
	c.name("failureDomain", s.FailureDomain)
	c.listener("listeners.callers", s.Listeners.Callers)
	c.listener("listeners.operators", s.Listeners.Operators)
	c.listener("listeners.peers", s.Listeners.Peers)
	checkLimits(c, s.Limits)
	atLeast(c, "balancerLag", s.BalancerLag, 0)
	atLeast(c, "drainLimit", s.DrainLimit, time.Second)
	c.address("platform.address", s.Platform.Address)
	atLeast(c, "platform.timeout", s.Platform.Timeout, time.Millisecond)
	c.share("retries.ratio", s.Retries.Ratio)
	atLeast(c, "retries.extra", s.Retries.Extra, 0)
	atLeast(c, "retries.window", s.Retries.Window, 100*time.Millisecond)
	atLeast(c, "memory", s.Memory, 0)
	atLeast(c, "processor", s.Processor, 0)
	checkPeerKey(c, s)
	for i, peer := range s.SeedPeers {
		c.address(parser.Index("seedPeers", i), peer)
	}
	checkOperators(c, s.Operators)
	c.parts("quarantine.held", s.Quarantine.Held)
	c.parts("quarantine.exempt", s.Quarantine.Exempt)
	atLeast(c, "control.bytesPerSecond", s.Control.BytesPerSecond, 512)
	atLeast(c, "metrics.accounts", s.Metrics.Accounts, 1)
}

func checkLimits(c checker, l Limits) {
	atLeast(c, "limits.maxHeaderBytes", l.MaxHeaderBytes, 1<<10)
	atLeast(c, "limits.maxBodyBytes", l.MaxBodyBytes, 1<<10)
	atLeast(c, "limits.maxPendingBytes", l.MaxPendingBytes, 4<<10)
	atLeast(c, "limits.maxHeldBytes", l.MaxHeldBytes, 0)
	atLeast(c, "limits.maxHeldConnBytes", l.MaxHeldConnBytes, 0)
	atLeast(c, "limits.maxHeldClientBytes", l.MaxHeldClientBytes, 0)
	atLeast(c, "limits.maxConnections", l.MaxConnections, 1)
	atLeast(c, "limits.maxOpenFiles", l.MaxOpenFiles, 0)
	atLeast(c, "limits.readTimeout", l.ReadTimeout, 100*time.Millisecond)
	atLeast(c, "limits.idleTimeout", l.IdleTimeout, 100*time.Millisecond)
}

func checkPeerKey(c checker, s *Router) {
	const allowed = "one of peerKey and peerKeyFile"
	switch {
	case s.PeerKey.Empty() && s.PeerKeyFile == "":
		c.missing("peerKeyFile", allowed)
	case !s.PeerKey.Empty() && s.PeerKeyFile != "":
		c.Add("peerKeyFile", "is set beside peerKey", allowed)
	case !s.PeerKey.Empty() && len(s.PeerKey.Reveal()) < minKeyBytes:
		c.Add("peerKey", "is too short", fmt.Sprintf("%d characters or more", minKeyBytes))
	}
}

func checkOperators(c checker, operators []Operator) {
	seen := map[string]bool{}
	for i, o := range operators {
		at := parser.Index("operators", i)
		c.name(parser.Join(at, "name"), o.Name)
		digest, err := hex.DecodeString(o.TokenDigest)
		if err != nil || len(digest) != digestBytes {
			// The value may be a token by mistake, so it is not repeated.
			c.Add(parser.Join(at, "tokenDigest"), "is not a digest", "the SHA-256 of the token in 64 hexadecimal digits")
		}
		if seen[o.Name] {
			c.Add(parser.Join(at, "name"), fmt.Sprintf("repeats %q", o.Name), "each operator once")
		}
		seen[o.Name] = true
	}
}

func checkPlatform(c checker, s *Platform) {
	c.address("address", s.Address)
	atLeast(c, "vmListLag", s.VMListLag, 0)
	atLeast(c, "faults.delay", s.Faults.Delay, 0)
	c.share("faults.lostAnswers", s.Faults.LostAnswers)
	for i, vm := range s.VMs {
		at := parser.Index("vms", i)
		c.name(parser.Join(at, "name"), vm.Name)
		c.address(parser.Join(at, "address"), vm.Address)
		c.name(parser.Join(at, "failureDomain"), vm.FailureDomain)
	}
}

func checkWorker(c checker, s *Worker) {
	c.name("name", s.Name)
	c.address("address", s.Address)
	atLeast(c, "slots", s.Slots, 1)
	atLeast(c, "prefillPerToken", s.PrefillPerToken, time.Nanosecond)
	atLeast(c, "stepTime", s.StepTime, time.Microsecond)
	atLeast(c, "stepTimePerStream", s.StepTimePerStream, time.Microsecond)
	atLeast(c, "cacheTokens", s.CacheTokens, 1)
	atLeast(c, "loadLag", s.LoadLag, 0)
	atLeast(c, "cacheLag", s.CacheLag, 0)
	c.share("cacheLoss", s.CacheLoss)
	atLeast(c, "resumeGrace", s.ResumeGrace, 0)
}

func checkService(c checker, s *Service) {
	c.name("name", s.Name)
	c.address("address", s.Address)
	atLeast(c, "slots", s.Slots, 1)
	atLeast(c, "timePerCall", s.TimePerCall, 0)
	atLeast(c, "loadLag", s.LoadLag, 0)
}
