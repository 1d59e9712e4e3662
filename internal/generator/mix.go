package generator

import (
	"fmt"
	"time"

	"lentilwood.example/lentilwood/internal/loader"
	"lentilwood.example/lentilwood/internal/parser"
)

// Kind says what the requests of a stream ask for.
type Kind string

// The kinds of requests.
const (
	// Completion asks a model engine for a text.
	Completion Kind = "completion"
	// Stock is an idempotent lookup at a plain service.
	Stock Kind = "stock"
	// Commit is a call that must not run twice.
	Commit Kind = "commit"
)

// Values returns every kind.
func (Kind) Values() []string { return []string{string(Completion), string(Stock), string(Commit)} }

// Range is a range of whole numbers, both ends included.
type Range struct {
	Min int `json:"min"`
	Max int `json:"max"`
}

// Mix is what a load consists of.
type Mix struct {
	// Kind is "load" in a file.
	Kind    loader.Kind `json:"kind"`
	Streams []Stream    `json:"streams"`
}

// Stream is requests of one client account and class that arrive at random at
// a mean rate, whether or not earlier ones were answered.
type Stream struct {
	Account string `json:"account"`
	// Token is the account's bearer token.
	Token loader.Secret `json:"token"`
	// Accounts spreads the requests evenly over that many client accounts,
	// whose tokens end in "-1", "-2" and so on; zero means the one account.
	Accounts int    `json:"accounts"`
	Class    string `json:"class"`
	Kind     Kind   `json:"kind"`
	// Path is where requests go; empty means the usual path of the kind.
	Path string `json:"path"`
	// Rate is the mean number of requests a second.
	Rate float64 `json:"rate"`
	// From and Until bound the part of the run in which requests arrive; an
	// Until of zero means to the end.
	From  time.Duration `json:"from"`
	Until time.Duration `json:"until"`
	// Tokens is how many tokens a completion asks for.
	Tokens Range `json:"tokens"`
	// PromptTokens is the length of the prompt.
	PromptTokens Range `json:"promptTokens"`
	// Prefixes is how many different prompt prefixes there are; zero names
	// none.
	Prefixes int `json:"prefixes"`
	// Whole asks for the answer in one piece instead of a stream of events.
	Whole bool `json:"whole"`
	// HintError is how far the cost hint may be off, as a factor of 1 or more;
	// zero sends no hint.
	HintError float64 `json:"hintError"`
	// Deadline is how long the caller waits; zero means without bound.
	Deadline time.Duration `json:"deadline"`
	// Keyed sends an idempotency key.
	Keyed bool `json:"keyed"`
	// Repeat is the share, 0 to 1, of keyed requests that are sent twice at
	// once, through two routers.
	Repeat float64 `json:"repeat"`
}

// LoadMix reads and checks a mix file, JSON with comments.
func LoadMix(file string) (Mix, parser.Findings) {
	data, findings := loader.Read(file)
	if findings.Len() > 0 {
		return Mix{}, findings
	}
	mix, findings := parser.Decode[Mix](file, data)
	if mix.Kind != loader.KindLoad && !findings.Reported("kind") {
		findings.Add("kind", "is not that of a load", string(loader.KindLoad))
	}
	mix.setDefaults()
	mix.check(&findings)
	return mix, findings
}

func (m *Mix) setDefaults() {
	for i := range m.Streams {
		s := &m.Streams[i]
		if s.Kind == "" {
			s.Kind = Completion
		}
		if s.Tokens == (Range{}) {
			s.Tokens = Range{Min: 16, Max: 16}
		}
		if s.PromptTokens == (Range{}) {
			s.PromptTokens = Range{Min: 32, Max: 32}
		}
		if s.Path == "" {
			s.Path = defaultPaths[s.Kind]
		}
	}
}

var defaultPaths = map[Kind]string{
	Completion: "/v1/completions",
	Stock:      "/stock",
	Commit:     "/reservations",
}

// maxAccounts bounds the client accounts of one stream.
const maxAccounts = 100_000

// maxRate bounds the requests a second of one stream.
const maxRate = 20_000

func (m *Mix) check(f *parser.Findings) {
	if len(m.Streams) == 0 {
		f.Add("streams", "is empty", "one stream or more")
	}
	for i, s := range m.Streams {
		at := parser.Index("streams", i)
		if s.Account == "" {
			f.Add(parser.Join(at, "account"), "is missing", "the name of a client account")
		}
		if s.Token.Empty() {
			f.Add(parser.Join(at, "token"), "is missing", "the bearer token of the client account")
		}
		if s.Rate <= 0 || s.Rate > maxRate {
			f.Add(parser.Join(at, "rate"), fmt.Sprintf("is %v", s.Rate), fmt.Sprintf("above 0, up to %d requests a second", maxRate))
		}
		checkRange(f, parser.Join(at, "tokens"), s.Tokens)
		checkRange(f, parser.Join(at, "promptTokens"), s.PromptTokens)
		if s.Accounts < 0 || s.Accounts > maxAccounts {
			f.Add(parser.Join(at, "accounts"), fmt.Sprintf("is %d", s.Accounts), fmt.Sprintf("0 to %d", maxAccounts))
		}
		if s.Repeat < 0 || s.Repeat > 1 {
			f.Add(parser.Join(at, "repeat"), fmt.Sprintf("is %v", s.Repeat), "a share from 0 to 1")
		}
		if s.HintError != 0 && s.HintError < 1 {
			f.Add(parser.Join(at, "hintError"), fmt.Sprintf("is %v", s.HintError), "0, or 1 and more")
		}
		if s.From < 0 || s.Until != 0 && s.Until <= s.From {
			f.Add(parser.Join(at, "until"), fmt.Sprintf("is %v", s.Until), "later than from")
		}
	}
}

func checkRange(f *parser.Findings, path string, r Range) {
	if r.Min < 1 || r.Max < r.Min {
		f.Add(path, fmt.Sprintf("is %d to %d", r.Min, r.Max), "min of 1 or more, max not below min")
	}
}
