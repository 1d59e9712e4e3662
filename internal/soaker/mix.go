package soaker

import (
	"time"

	"lentilwood.example/lentilwood/internal/generator"
	"lentilwood.example/lentilwood/internal/loader"
)

const (
	account = "clinic"
	// patientTimeout is longer than any answer takes, hastyTimeout shorter than
	// the answers that hasty callers ask for.
	patientTimeout = 40 * time.Second
	hastyTimeout   = 400 * time.Millisecond
)

// tokenOf returns the bearer token of a client account or operator.
func tokenOf(name string) string { return "soak-token-of-" + name }

func completions(class string, rate float64, tokens generator.Range) generator.Stream {
	return generator.Stream{
		Account: account, Token: loader.NewSecret(tokenOf(account)), Class: class, Kind: generator.Completion, Rate: rate, Tokens: tokens,
	}
}

// patientMix is callers that wait for their answers.
func patientMix() generator.Mix {
	call := func(class string, kind generator.Kind, path string, rate float64) generator.Stream {
		return generator.Stream{
			Account: account, Token: loader.NewSecret(tokenOf(account)), Class: class, Kind: kind, Path: path, Rate: rate,
			Keyed: kind == generator.Commit, Repeat: 0.1,
		}
	}
	return generator.Mix{Streams: []generator.Stream{
		completions("question", 20, generator.Range{Min: 4, Max: 20}),
		completions("consultation", 2, generator.Range{Min: 60, Max: 200}),
		call("lookup", generator.Stock, "/stock", 10),
		call("order", generator.Commit, "/printRuns", 15),
	}}
}

// hastyMix is callers that leave while their answer comes.
func hastyMix() generator.Mix {
	return generator.Mix{Streams: []generator.Stream{
		completions("consultation", 1, generator.Range{Min: 200, Max: 300}),
	}}
}
