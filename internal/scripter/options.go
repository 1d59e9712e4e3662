package scripter

import (
	"errors"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// options are the name=value arguments of a command.
type options struct {
	ts     *testscript.TestScript
	values map[string]string
	// background is true if the last argument was "&".
	background bool
}

// parse splits a command's arguments into positional ones and options, of
// which only those allowed may be given.
func parse(ts *testscript.TestScript, args []string, allowed ...string) ([]string, options) {
	o := options{ts: ts, values: map[string]string{}}
	if n := len(args); n > 0 && args[n-1] == "&" {
		o.background = true
		args = args[:n-1]
	}
	var positional []string
	for _, arg := range args {
		name, value, ok := strings.Cut(arg, "=")
		if !ok || strings.ContainsAny(name, "/{") {
			positional = append(positional, arg)
			continue
		}
		if !slices.Contains(allowed, name) {
			ts.Fatalf("option %s is not known here; want one of %s", name, strings.Join(allowed, " "))
		}
		o.values[name] = value
	}
	return positional, o
}

func (o options) text(name, def string) string {
	if v, ok := o.values[name]; ok {
		return v
	}
	return def
}

// list returns the parts of a value that commas separate.
func (o options) list(name string) []string {
	return strings.FieldsFunc(o.values[name], func(r rune) bool { return r == ',' })
}

func (o options) number(name string, def int) int {
	v, ok := o.values[name]
	if !ok {
		return def
	}
	n, err := strconv.Atoi(v)
	if err != nil {
		o.ts.Fatalf("%s=%s is not a number", name, v)
	}
	return n
}

func (o options) duration(name string, def time.Duration) time.Duration {
	v, ok := o.values[name]
	if !ok {
		return def
	}
	d, err := time.ParseDuration(v)
	if err != nil {
		o.ts.Fatalf("%s=%s is not a duration", name, v)
	}
	return d
}

// endOf returns nil for the regular end of an answer.
func endOf(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}
