package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/ansel1/merry/v2"

	"lentilwood.example/lentilwood/internal/operator"
)

type configCommands struct {
	Show    configShowCommand    `cmd:"" help:"Print the configuration in force."`
	Check   configCheckCommand   `cmd:"" help:"Check a document before it is sent."`
	Set     configSetCommand     `cmd:"" help:"Replace the configuration by a document."`
	Except  configExceptCommand  `cmd:"" help:"Add, replace or remove an exception to the defaults."`
	History configHistoryCommand `cmd:"" help:"List the newest changes."`
	Revert  configRevertCommand  `cmd:"" help:"Bring an earlier version back as a new version."`
	Wait    configWaitCommand    `cmd:"" help:"Wait until every router runs a version."`
}

type configShowCommand struct {
	connection
}

// Run prints the document; its output can be edited and given to set.
func (c configShowCommand) Run(s *streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	cfg, err := client.Config(context.Background())
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s.out, cfg)
	}
	fmt.Fprintf(s.out, "// version %d by %s at %s: %s\n", cfg.Version, cfg.Author, clockTime(cfg.Changed), cfg.Reason)
	var text bytes.Buffer
	if err := json.Indent(&text, cfg.Document, "", "  "); err != nil {
		return merry.Prepend(err, "the document cannot be printed")
	}
	_, err = fmt.Fprintln(s.out, text.String())
	return err
}

type configSetCommand struct {
	connection
	File      string  `arg:"" help:"Document of the kind \"configuration\"."`
	Reason    string  `required:"" help:"Why the configuration is changed; it stands in the history."`
	IfVersion *uint64 `help:"Version that the document was made from; without it the document's field \"version\" says so."`
}

// Run checks the document here first, so that findings come with their places.
func (c configSetCommand) Run(s *streams) error {
	document, version, err := readConfiguration(s, c.File)
	if err != nil {
		return err
	}
	if c.IfVersion != nil {
		version = *c.IfVersion
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	change, err := client.SetConfig(context.Background(), operator.SetConfig{
		Precondition: operator.Precondition{IfVersion: version, Reason: c.Reason},
		Document:     document,
	})
	return c.printChange(s, change, err)
}

// printChange says which version a change made.
func (c connection) printChange(s *streams, change operator.Change, err error) error {
	if err != nil {
		return err
	}
	return c.print(s, change, func(w io.Writer) {
		fmt.Fprintf(w, "version %d by %s: %s\n", change.Version, change.Author, change.Reason)
	})
}

type configHistoryCommand struct {
	connection
	Limit int `default:"20" help:"How many changes are listed."`
}

// Run lists changes, newest first.
func (c configHistoryCommand) Run(s *streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	history, err := client.History(context.Background(), c.Limit)
	if err != nil {
		return err
	}
	return c.print(s, history, func(w io.Writer) {
		row(w, "VERSION", "CHANGED", "AUTHOR", "REASON", "SUMMARY")
		for _, h := range history.Changes {
			row(w, h.Version, clockTime(h.Changed), h.Author, h.Reason, h.Summary)
		}
	})
}

type configRevertCommand struct {
	connection
	Version   uint64 `arg:"" help:"Version to bring back."`
	Reason    string `required:"" help:"Why; it stands in the history."`
	IfVersion uint64 `required:"" help:"Version that is in force as far as you know."`
}

// Run makes an earlier document the newest version.
func (c configRevertCommand) Run(s *streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	change, err := client.Revert(context.Background(), operator.Revert{
		Precondition: operator.Precondition{IfVersion: c.IfVersion, Reason: c.Reason},
		ToVersion:    c.Version,
	})
	return c.printChange(s, change, err)
}

type configWaitCommand struct {
	connection
	Version uint64        `help:"Version to wait for; without it the newest."`
	For     time.Duration `name:"for" default:"30s" help:"How long to wait."`
}

// pollInterval is the time between two questions of "config wait".
const pollInterval = 250 * time.Millisecond

// Run waits and then lists which router runs which version.
func (c configWaitCommand) Run(s *streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	return c.wait(s, client, time.After(c.For))
}

// wait asks at least once and gives up when deadline fires.
func (c configWaitCommand) wait(s *streams, client *operator.Client, deadline <-chan time.Time) error {
	target := c.Version
	for {
		versions, err := client.Versions(context.Background())
		if err == nil && target == 0 {
			target = versions.Newest
		}
		late := laggards(versions, target)
		if err == nil && len(late) == 0 {
			return c.printVersions(s, versions)
		}
		select {
		case <-time.After(pollInterval):
			continue
		case <-deadline:
		}
		if err != nil {
			return err
		}
		if err := c.printVersions(s, versions); err != nil {
			return err
		}
		return merry.Errorf("version %d is not in force at %d of %d routers", target, len(late), len(versions.Routers))
	}
}

// laggards returns the routers that do not run target yet. A router that is
// not heard of counts: it may still serve callers.
func laggards(v operator.Versions, target uint64) []operator.RouterVersion {
	var late []operator.RouterVersion
	for _, r := range v.Routers {
		if r.Version < target {
			late = append(late, r)
		}
	}
	return late
}

func (c connection) printVersions(s *streams, v operator.Versions) error {
	return c.print(s, v, func(w io.Writer) { versionTable(w, v.Routers) })
}

func versionTable(w io.Writer, routers []operator.RouterVersion) {
	row(w, "ROUTER", "DOMAIN", "VERSION", "ALIVE", "HEARD")
	for _, r := range routers {
		row(w, r.Router, r.FailureDomain, r.Version, yesNo(r.Alive), clockTime(r.Heard))
	}
}
