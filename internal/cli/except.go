package cli

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"lentilwood.example/lentilwood/internal/operator"
)

type configExceptCommand struct {
	connection
	ID        string            `arg:"" help:"Name of the exception, such as \"riga-3-campaign\"."`
	Reason    string            `required:"" help:"Why; it stands in the history."`
	Scope     map[string]string `help:"What it applies to: account, class, pool, upstream, router or domain, such as account=riga-3."`
	Set       map[string]string `help:"What it changes, such as account.weight=2 or class.queueTimeout=5s."`
	Until     time.Time         `help:"When it ends, such as 2027-03-31T18:00:00Z; without it the exception stays."`
	For       time.Duration     `help:"How long it lasts from now, instead of --until."`
	Remove    bool              `help:"Remove the exception."`
	IfVersion uint64            `help:"Version that is in force as far as you know; without it the exception applies to whichever is the newest."`
}

// Run changes one exception.
func (c configExceptCommand) Run(s *streams) error {
	if c.Remove == (len(c.Set) > 0) {
		return &exitError{code: exitUsage, err: merry.New("give either --set or --remove")}
	}
	client, err := c.client()
	if err != nil {
		return err
	}
	condition := operator.Precondition{IfVersion: c.IfVersion, Reason: c.Reason}
	if c.Remove {
		change, err := client.RemoveException(context.Background(), operator.RemoveException{Precondition: condition, ID: c.ID})
		return c.printChange(s, change, err)
	}
	exception, err := c.exception(time.Now())
	if err != nil {
		return err
	}
	change, err := client.AddException(context.Background(), operator.AddException{
		Precondition: condition, ID: c.ID, Exception: exception,
	})
	return c.printChange(s, change, err)
}

// exception builds the document of the exception from the flags.
func (c configExceptCommand) exception(now time.Time) (json.RawMessage, error) {
	document := map[string]any{"reason": c.Reason}
	if len(c.Scope) > 0 {
		document["scope"] = c.Scope
	}
	switch {
	case c.For < 0 || c.For > 0 && !c.Until.IsZero():
		return nil, &exitError{code: exitUsage, err: merry.New("give either --until or a positive --for")}
	case c.For > 0:
		document["until"] = now.Add(c.For).UTC().Truncate(time.Second)
	case !c.Until.IsZero():
		document["until"] = c.Until
	}
	for path, text := range c.Set {
		section, field, ok := strings.Cut(path, ".")
		if !ok || strings.Contains(field, ".") {
			return nil, &exitError{code: exitUsage, err: merry.Errorf("--set %s: want a path of two parts, such as account.weight", path)}
		}
		fields, ok := document[section].(map[string]any)
		if !ok {
			fields = map[string]any{}
			document[section] = fields
		}
		fields[field] = valueOf(text)
	}
	return json.Marshal(document)
}

// valueOf reads text as JSON or else takes it as a string.
func valueOf(text string) any {
	var v any
	if err := json.Unmarshal([]byte(text), &v); err != nil {
		return text
	}
	return v
}
