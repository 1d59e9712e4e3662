package scripter

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"lentilwood.example/lentilwood/internal/generator"
)

// load is a mix of requests that was sent.
type load struct {
	done   chan struct{}
	report *generator.Report
	err    error
}

func startLoad(cfg generator.Config) *load {
	l := &load{done: make(chan struct{})}
	go func() {
		defer close(l.done)
		l.report, l.err = generator.Run(context.Background(), cfg)
	}()
	return l
}

// check compares one count of a finished load, of one client account if the
// name ends in "@" and its name. A value that ends in "+" is the least that is
// wanted.
func (l *load) check(name, want string) string {
	name, account, _ := strings.Cut(name, "@")
	total := l.total(account)
	counts := map[string]int{
		"sent": total.Sent, "complete": total.Complete, "refused": total.Refused, "failed": total.Failed,
		"wrong": total.Wrong, "cut": total.Cut, "lost": total.Lost, "skipped": total.Skipped,
		"noRetryAfter": total.NoRetryAfter, "broken": l.report.Broken(),
		"incomplete": total.Sent - total.Complete,
	}
	got, ok := counts[name]
	if !ok {
		return fmt.Sprintf("a load has no count %q", name)
	}
	if least, isLeast := cutPlus(want); isLeast && got >= least {
		return ""
	}
	if strconv.Itoa(got) == want {
		return ""
	}
	return fmt.Sprintf("got %s %d, want %s (problems %v, faults %v)", name, got, want, l.report.Problems, l.report.Faults)
}

// total adds the groups of a client account up, or all of them.
func (l *load) total(account string) generator.Group {
	report := *l.report
	if account != "" {
		report.Groups = slices.DeleteFunc(slices.Clone(l.report.Groups), func(g generator.Group) bool {
			return g.Account != account
		})
	}
	return report.Total()
}

func cutPlus(s string) (int, bool) {
	if len(s) == 0 || s[len(s)-1] != '+' {
		return 0, false
	}
	n, err := strconv.Atoi(s[:len(s)-1])
	return n, err == nil
}
