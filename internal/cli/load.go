package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"lentilwood.example/lentilwood/internal/generator"
	"lentilwood.example/lentilwood/internal/loader"
)

type loadCommand struct {
	Router      []string      `required:"" help:"Callers' address of a router, a loopback host:port; requests spread over all that are named."`
	Mix         string        `help:"Mix file, JSON with comments; the flags from --account to --whole then have no effect." type:"path"`
	Account     string        `default:"account" help:"Name of the client account in the report."`
	TokenFile   string        `help:"File that holds the client account's bearer token; without it the environment variable LENTILWOOD_TOKEN does."`
	Class       string        `help:"Class of the requests."`
	Kind        string        `default:"completion" enum:"completion,stock,commit" help:"What is asked for: completion, stock or commit."`
	Path        string        `help:"Path of the requests; without it the usual one of the kind."`
	Rate        float64       `default:"20" help:"Mean number of requests a second."`
	Tokens      int           `default:"16" help:"Tokens that a completion asks for."`
	Whole       bool          `help:"Ask for answers in one piece instead of streams."`
	For         time.Duration `default:"10s" help:"How long requests are sent."`
	MaxRequests int           `default:"100000" help:"Most requests that are sent."`
	MaxOpen     int           `default:"2000" help:"Most requests that wait for an answer at a time; what is due beyond is skipped and counted."`
	Timeout     time.Duration `default:"60s" help:"How long one answer may take in full."`
	Seed        uint64        `default:"1" help:"Seed of the arrivals; the same seed gives the same load."`
	RunID       string        `help:"Text that request ids begin with; without it one from the time."`
	AnyText     bool          `help:"Do not compare texts with those of the stand-ins."`
	JSON        bool          `name:"json" help:"Print one JSON object instead of tables."`
	Plot        string        `placeholder:"FILE.png" help:"Draw the time to the first token by quantile." type:"path"`
}

// Run sends the load and fails if an answer was wrong, cut off or lost.
func (c loadCommand) Run(s *streams) error {
	mix, err := c.mix(s)
	if err != nil {
		return err
	}
	cfg := generator.Config{
		Routers: c.Router, Mix: mix, For: c.For, MaxRequests: c.MaxRequests, MaxOpen: c.MaxOpen,
		Timeout: c.Timeout, Seed: c.Seed, Run: c.RunID, Expect: generator.StandIns{},
		Progress: func(p generator.Progress) { fmt.Fprintln(s.err, progressLine(p)) },
	}
	if cfg.Run == "" {
		cfg.Run = fmt.Sprintf("load%x", time.Now().UnixMilli())
	}
	if c.AnyText {
		cfg.Expect = nil
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	report, err := generator.Run(ctx, cfg)
	if err != nil {
		return err
	}
	if c.Plot != "" {
		if err := report.Plot(c.Plot); err != nil {
			return err
		}
	}
	return c.print(s, report)
}

func (c loadCommand) print(s *streams, report *generator.Report) error {
	var err error
	if c.JSON {
		err = printJSON(s.out, report)
	} else {
		err = report.Write(s.out)
	}
	if err != nil {
		return err
	}
	sum := report.Total()
	if report.Broken() > 0 {
		return merry.Errorf("%d wrong, %d cut and %d lost answers", sum.Wrong, sum.Cut, sum.Lost)
	}
	return nil
}

// mix returns the mix of the file or else the one that the flags describe.
func (c loadCommand) mix(s *streams) (generator.Mix, error) {
	if c.Mix != "" {
		mix, findings := generator.LoadMix(c.Mix)
		if findings.Len() > 0 {
			fmt.Fprintln(s.err, findings.String())
			return mix, merry.Errorf("nothing was sent: %d findings in %s", findings.Len(), c.Mix)
		}
		return mix, nil
	}
	token, err := connection{TokenFile: c.TokenFile}.token()
	if err != nil {
		return generator.Mix{}, err
	}
	if c.Rate <= 0 || c.Tokens < 1 {
		return generator.Mix{}, &exitError{code: exitUsage, err: merry.New("--rate and --tokens must be above 0")}
	}
	return generator.Mix{Streams: []generator.Stream{{
		Account: c.Account, Token: loader.NewSecret(token), Class: c.Class, Kind: generator.Kind(c.Kind),
		Path: c.Path, Rate: c.Rate, Tokens: generator.Range{Min: c.Tokens, Max: c.Tokens}, Whole: c.Whole,
	}}}, nil
}

func progressLine(p generator.Progress) string {
	parts := []string{
		fmt.Sprintf("%5.1fs", p.Elapsed.Seconds()),
		fmt.Sprintf("%d sent", p.Sent),
		fmt.Sprintf("%d answered", p.Done),
		fmt.Sprintf("%d open", p.Open),
		fmt.Sprintf("%d refused", p.Refused),
		fmt.Sprintf("%d wrong or cut", p.Wrong),
		fmt.Sprintf("%d lost", p.Lost),
	}
	return strings.Join(parts, ", ")
}
