package demonstrator

import (
	"fmt"
	"time"

	"lentilwood.example/lentilwood/internal/configurer"
	"lentilwood.example/lentilwood/internal/generator"
	"lentilwood.example/lentilwood/internal/loader"
	"lentilwood.example/lentilwood/internal/messenger"
)

// Size of the fleet.
const (
	routerCount = 3
	workerCount = 4
	domainCount = 2
	workerSlots = 8
	// stepTime and stepPerStream make a worker with full slots generate about
	// 800 tokens a second.
	stepTime      = 8 * time.Millisecond
	stepPerStream = 250 * time.Microsecond
	callTime      = 5 * time.Millisecond
	deskWindow    = 16
	queueLength   = 48
)

// Names in the configuration.
const (
	assistantPool messenger.PoolID     = "assistant"
	deskPool      messenger.PoolID     = "desk"
	deskUpstream  messenger.UpstreamID = "order-desk"

	consultation messenger.ClassID = "consultation"
	question     messenger.ClassID = "question"
	lookup       messenger.ClassID = "lookup"
	order        messenger.ClassID = "order"

	// flooder is the client account that sends far more than its share.
	flooder messenger.AccountID = "flooder"
)

// accounts are the client accounts and their weights. The first three ask for
// less than their share; the last two are always backlogged.
var accounts = []struct {
	id     messenger.AccountID
	weight float64
}{
	{"large-clinic", 2},
	{"small-clinic", 1},
	{"small-bindery", 1},
	{"large-bindery", 2},
	{flooder, 1},
}

// tokenOf returns the bearer token of a client account or operator.
func tokenOf[T ~string](name T) string { return fmt.Sprintf("demo-token-of-%s", name) }

// document returns the fleet configuration.
func document(workers map[messenger.UpstreamID]string, deskAddress string) *configurer.Document {
	d := &configurer.Document{
		Account:  configurer.AccountSettings{QueueLength: ptr(queueLength)},
		Accounts: map[messenger.AccountID]configurer.AccountSettings{},
		Classes: map[messenger.ClassID]configurer.ClassSettings{
			consultation: {Precedence: ptr(2), Long: ptr(true), ExpectedTokens: ptr(120.0), ProgressTimeout: seconds(1), QueueTimeout: seconds(30)},
			question:     {Precedence: ptr(1), Floor: ptr(0.25), ExpectedTokens: ptr(16.0), ProgressTimeout: seconds(1), QueueTimeout: seconds(10)},
			lookup:       {Precedence: ptr(1), ExpectedTokens: ptr(1.0), ProgressTimeout: seconds(1), QueueTimeout: seconds(10)},
			order:        {Precedence: ptr(1), ExpectedTokens: ptr(1.0), ProgressTimeout: seconds(1), QueueTimeout: seconds(10)},
		},
		Pools: map[messenger.PoolID]configurer.PoolSettings{assistantPool: {LongShare: ptr(0.5)}, deskPool: {}},
		Upstreams: map[messenger.UpstreamID]configurer.UpstreamSettings{
			deskUpstream: {Pool: deskPool, Address: deskAddress, Domain: domainOf(0), Window: ptr(deskWindow)},
		},
		Routes: []configurer.Route{
			{Path: "/v1/completions", Methods: []string{"POST"}, Pool: assistantPool, Class: question, Classes: []messenger.ClassID{consultation}, Idempotent: true, Engine: true},
			{Path: "/stock", Methods: []string{"GET"}, Pool: deskPool, Class: lookup, Idempotent: true},
			{Path: "/printRuns", Methods: []string{"POST"}, Pool: deskPool, Class: order},
		},
	}
	for _, a := range accounts {
		d.Accounts[a.id] = configurer.AccountSettings{Weight: ptr(a.weight), Tokens: []string{configurer.Digest(tokenOf(a.id))}}
	}
	i := 0
	for id, address := range workers {
		d.Upstreams[id] = configurer.UpstreamSettings{
			Pool: assistantPool, Address: address, Domain: domainOf(i), Window: ptr(workerSlots), Engine: ptr(true), ChecksFence: ptr(true),
		}
		i++
	}
	return d
}

// mix returns the load.
func mix() generator.Mix {
	completions := func(id messenger.AccountID, class messenger.ClassID, rate float64, tokens generator.Range) generator.Stream {
		return generator.Stream{
			Account: string(id), Class: string(class), Kind: generator.Completion, Rate: rate, Tokens: tokens,
			Token: loader.NewSecret(tokenOf(id)), HintError: 2, Prefixes: 4,
		}
	}
	desk := func(id messenger.AccountID, class messenger.ClassID, kind generator.Kind, path string, rate float64) generator.Stream {
		return generator.Stream{
			Account: string(id), Class: string(class), Kind: kind, Path: path, Rate: rate,
			Token: loader.NewSecret(tokenOf(id)), Keyed: kind == generator.Commit, Repeat: 0.1,
		}
	}
	short, long := generator.Range{Min: 8, Max: 24}, generator.Range{Min: 60, Max: 180}
	return generator.Mix{Streams: []generator.Stream{
		completions("large-clinic", consultation, 2, long),
		completions("large-clinic", question, 12, short),
		completions("small-clinic", question, 8, short),
		desk("small-clinic", lookup, generator.Stock, "/stock", 10),
		completions("small-bindery", consultation, 0.5, long),
		completions("small-bindery", question, 6, short),
		desk("small-bindery", order, generator.Commit, "/printRuns", 6),
		completions("large-bindery", question, 160, short),
		desk("large-bindery", order, generator.Commit, "/printRuns", 4),
		completions(flooder, question, 160, short),
	}}
}

func domainOf(i int) string { return fmt.Sprintf("domain-%d", i%domainCount+1) }

func seconds(n int) *configurer.Duration {
	return ptr(configurer.Duration(time.Duration(n) * time.Second))
}

func ptr[T any](v T) *T { return &v }
