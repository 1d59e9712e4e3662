package configurer

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"lentilwood.example/lentilwood/internal/messenger"
)

// digestBytes is the length of a SHA-256 digest.
const digestBytes = 32

// Check validates a whole document and returns all Findings together, or nil.
func Check(d *Document) error {
	var f Findings
	f.checkZone("timeZone", d.TimeZone)
	f.checkAccount("account", d.Account)
	if len(d.Account.Tokens) > 0 {
		f.add("account.tokens", "tokens belong to a named client account")
	}
	f.checkAccounts(d)
	for _, id := range sortedKeys(d.Classes) {
		f.checkClass(join("classes", string(id)), d.Classes[id])
	}
	for _, id := range sortedKeys(d.Pools) {
		f.checkPool(join("pools", string(id)), d.Pools[id])
	}
	for _, id := range sortedKeys(d.Upstreams) {
		f.checkUpstream(join("upstreams", string(id)), d, d.Upstreams[id])
	}
	f.checkRoutes(d)
	for _, id := range sortedKeys(d.Exceptions) {
		f.checkException(join("exceptions", id), d, d.Exceptions[id])
	}
	f.checkOverlaps(d)
	return f.err()
}

func (f *Findings) checkAccounts(d *Document) {
	owners := make(map[string]messenger.AccountID)
	for _, id := range sortedKeys(d.Accounts) {
		path := join("accounts", string(id))
		f.checkAccount(path, d.Accounts[id])
		for i, t := range d.Accounts[id].Tokens {
			t = strings.ToLower(t)
			if other, ok := owners[t]; ok {
				f.add(fmt.Sprintf("%s.tokens[%d]", path, i), "same token as client account "+string(other))
			}
			owners[t] = id
		}
	}
}

func (f *Findings) checkAccount(path string, a AccountSettings) {
	for i, t := range a.Tokens {
		if raw, err := hex.DecodeString(t); err != nil || len(raw) != digestBytes {
			f.add(fmt.Sprintf("%s.tokens[%d]", path, i), "want a SHA-256 digest in hex, not the token itself")
		}
	}
	if a.Weight != nil && *a.Weight <= 0 {
		f.add(path+".weight", "want a weight above 0")
	}
	checkNotNegative(f, path+".requestsPerSecond", a.RequestsPerSecond)
	checkNotNegative(f, path+".tokensPerMinute", a.TokensPerMinute)
	checkNotNegative(f, path+".burst", a.Burst)
	checkNotNegative(f, path+".concurrency", a.Concurrency)
	checkNotNegative(f, path+".queueLength", a.QueueLength)
}

func (f *Findings) checkClass(path string, c ClassSettings) {
	f.checkShare(path+".floor", c.Floor)
	checkNotNegative(f, path+".expectedTokens", c.ExpectedTokens)
	checkNotNegative(f, path+".progressTimeout", c.ProgressTimeout)
	checkNotNegative(f, path+".queueTimeout", c.QueueTimeout)
	for i, p := range c.Schedule {
		f.checkPeriod(fmt.Sprintf("%s.schedule[%d]", path, i), p)
	}
}

func (f *Findings) checkPeriod(path string, p Period) {
	for i, day := range p.Days {
		if !slices.Contains(weekdays, day) {
			f.add(fmt.Sprintf("%s.days[%d]", path, i), "want one of "+strings.Join(weekdays, ", "))
		}
	}
	if _, err := minuteOfDay(p.From); err != nil {
		f.add(path+".from", `want a time of day such as "08:00"`)
	}
	if _, err := minuteOfDay(p.To); err != nil {
		f.add(path+".to", `want a time of day such as "18:00"`)
	}
	f.checkZone(path+".timeZone", p.TimeZone)
	f.checkShare(path+".floor", p.Floor)
}

func (f *Findings) checkPool(path string, p PoolSettings) {
	f.checkShare(path+".longShare", p.LongShare)
	f.checkShare(path+".hedgeBudget", p.HedgeBudget)
}

func (f *Findings) checkUpstream(path string, d *Document, u UpstreamSettings) {
	if _, ok := d.Pools[u.Pool]; !ok {
		f.add(path+".pool", "unknown pool "+quote(u.Pool))
	}
	f.checkMoveTo(path+".moveTo", d, u)
	f.checkAddress(path+".address", u.Address)
	if u.Window == nil || *u.Window < 1 {
		f.add(path+".window", "want a window of 1 or more")
	}
}

func (f *Findings) checkAddress(path, address string) {
	if ap, err := netip.ParseAddrPort(address); err != nil || ap.Port() == 0 {
		f.add(path, `want an IP number and port such as "10.0.0.5:8000"`)
	}
}

func (f *Findings) checkRoutes(d *Document) {
	for i, r := range d.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		if !strings.HasPrefix(r.Path, "/") {
			f.add(path+".path", "want a path that starts with /")
		}
		if _, ok := d.Pools[r.Pool]; !ok {
			f.add(path+".pool", "unknown pool "+quote(r.Pool))
		}
		for j, c := range append([]messenger.ClassID{r.Class}, r.Classes...) {
			if _, ok := d.Classes[c]; ok {
				continue
			}
			if j == 0 {
				f.add(path+".class", "unknown class "+quote(c))
				continue
			}
			f.add(fmt.Sprintf("%s.classes[%d]", path, j-1), "unknown class "+quote(c))
		}
	}
}

func (f *Findings) checkException(path string, d *Document, e Exception) {
	if strings.TrimSpace(e.Reason) == "" {
		f.add(path+".reason", "an exception needs a reason")
	}
	if strings.TrimSpace(e.Author) == "" {
		f.add(path+".author", "an exception needs an author")
	}
	if e.Account == nil && e.Class == nil && e.Pool == nil && e.Upstream == nil {
		f.add(path, "changes nothing: want account, class, pool or upstream")
	}
	f.checkScope(path+".scope", d, e)
	if e.Account != nil {
		f.checkAccount(path+".account", *e.Account)
		if len(e.Account.Tokens) > 0 {
			f.add(path+".account.tokens", "tokens are not changed by an exception")
		}
	}
	if e.Class != nil {
		f.checkClass(path+".class", *e.Class)
	}
	if e.Pool != nil {
		f.checkPool(path+".pool", *e.Pool)
	}
	if e.Upstream != nil {
		f.checkUpstreamChange(path+".upstream", *e.Upstream)
		f.checkMoveTo(path+".upstream.moveTo", d, *e.Upstream)
	}
}

func (f *Findings) checkScope(path string, d *Document, e Exception) {
	s := e.Scope
	if _, ok := d.Accounts[s.Account]; s.Account != "" && !ok {
		f.add(path+".account", "unknown client account "+quote(s.Account))
	}
	if _, ok := d.Classes[s.Class]; s.Class != "" && !ok {
		f.add(path+".class", "unknown class "+quote(s.Class))
	}
	if _, ok := d.Pools[s.Pool]; s.Pool != "" && !ok {
		f.add(path+".pool", "unknown pool "+quote(s.Pool))
	}
	if _, ok := d.Upstreams[s.Upstream]; s.Upstream != "" && !ok {
		f.add(path+".upstream", "unknown upstream "+quote(s.Upstream))
	}
	if s.Account != "" && e.Account == nil {
		f.add(path+".account", "narrows nothing: the exception changes no account")
	}
	if s.Class != "" && e.Class == nil {
		f.add(path+".class", "narrows nothing: the exception changes no class")
	}
	if s.Pool != "" && e.Pool == nil && e.Upstream == nil {
		f.add(path+".pool", "narrows nothing: the exception changes no pool or upstream")
	}
	if s.Upstream != "" && e.Upstream == nil {
		f.add(path+".upstream", "narrows nothing: the exception changes no upstream")
	}
}

func (f *Findings) checkUpstreamChange(path string, u UpstreamSettings) {
	if u.Pool != "" || u.Domain != "" {
		f.add(path, "pool and domain are not changed by an exception")
	}
	if u.Address != "" {
		f.checkAddress(path+".address", u.Address)
	}
	if u.Window != nil && *u.Window < 1 {
		f.add(path+".window", "want a window of 1 or more")
	}
}

func (f *Findings) checkMoveTo(path string, d *Document, u UpstreamSettings) {
	to, ok := d.Upstreams[u.MoveTo]
	switch {
	case u.MoveTo == "":
	case !ok:
		f.add(path, "unknown upstream "+quote(u.MoveTo))
	case to.Engine == nil || !*to.Engine:
		f.add(path, "want a model engine")
	}
}

func (f *Findings) checkZone(path, zone string) {
	if _, err := time.LoadLocation(zone); err != nil {
		f.add(path, "unknown time zone "+quote(zone))
	}
}

func (f *Findings) checkShare(path string, share *float64) {
	if share != nil && (*share < 0 || *share > 1) {
		f.add(path, "want a share from 0 to 1")
	}
}

func checkNotNegative[T int | float64 | Duration](f *Findings, path string, v *T) {
	if v != nil && *v < 0 {
		f.add(path, "want 0 or more")
	}
}

func quote[T ~string](s T) string { return fmt.Sprintf("%q", string(s)) }
