package cli

import (
	"context"
	"fmt"
	"io"
	"strings"

	"lentilwood.example/lentilwood/internal/operator"
)

type statusCommand struct {
	connection
	Account string `help:"Show this client account in detail."`
}

// Run shows the fleet, or one client account.
func (c statusCommand) Run(s *streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	if c.Account != "" {
		account, err := client.Account(context.Background(), c.Account)
		if err != nil {
			return err
		}
		return c.print(s, account, func(w io.Writer) { accountTable(w, account) })
	}
	status, err := client.Status(context.Background())
	if err != nil {
		return err
	}
	return c.print(s, status, func(w io.Writer) { statusTables(w, status) })
}

func accountTable(w io.Writer, a operator.AccountStatus) {
	l := a.Limits
	fmt.Fprintf(w, "account %s at router %s: weight %g, home %s, %d waiting, %d running\n",
		a.Account, a.Router, a.Weight, a.Home, l.Waiting, l.Running)
	fmt.Fprintf(w, "limits of the fleet: queue %d, concurrency %d, %g requests a second, %g tokens a minute; this router's part %.2f\n\n",
		l.QueueLength, l.Concurrency, l.RequestsPerSecond, l.TokensPerMinute, l.Share)
	row(w, "POOL", "SHARE", "SERVED", "TAG", "VIRTUAL TIME", "AHEAD", "EXPECTED WAIT", "ELSEWHERE", "BLOCKED")
	for _, p := range a.Pools {
		row(w, p.Pool, fmt.Sprintf("%.2f", p.SlotShare), fmt.Sprintf("%.0f", p.Served), fmt.Sprintf("%.0f", p.Tag),
			fmt.Sprintf("%.0f", p.VirtualTime), p.AccountsAhead, fmt.Sprintf("%.1fs", p.ExpectedWaitSeconds), p.WaitingElsewhere, yesNo(p.Blocked))
	}
	fmt.Fprintln(w)
	row(w, "POOL", "CLASS", "WAITING")
	for _, p := range a.Pools {
		for _, c := range p.Waiting {
			row(w, p.Pool, c.Class, c.Waiting)
		}
	}
	fmt.Fprintln(w)
	row(w, "POOL", "UPSTREAM", "RUNNING")
	for _, p := range a.Pools {
		for _, u := range p.RunningByUpstream {
			row(w, p.Pool, u.Upstream, u.Running)
		}
	}
}

func statusTables(w io.Writer, s operator.Status) {
	fmt.Fprintf(w, "router %s in %s, version %d, ready: %s, platform's store answers: %s, started %s\n\n",
		s.Router, s.FailureDomain, s.Version, yesNo(s.Ready), yesNo(s.StoreReachable), clockTime(s.Started))
	if len(s.Quarantined) > 0 {
		fmt.Fprintf(w, "quarantined prompt parts: %s\n\n", strings.Join(s.Quarantined, ", "))
	}
	for _, d := range s.Evacuated {
		fmt.Fprintf(w, "emptied failure domain %s: %d upstreams, %d requests of this router still run\n\n", d.FailureDomain, d.Upstreams, d.Running)
	}
	versionTable(w, s.Routers)
	fmt.Fprintln(w)
	row(w, "POOL", "WAITING", "RUNNING", "SLOTS", "ACCOUNTS")
	for _, p := range s.Scheduler.Pools {
		waiting := 0
		for _, c := range p.Waiting {
			waiting += c.Waiting
		}
		row(w, p.Pool, waiting, p.Running, p.Slots, p.Accounts)
	}
	fmt.Fprintln(w)
	row(w, "UPSTREAM", "POOL", "DOMAIN", "WINDOW", "SLOTS", "RUNNING", "LEAVING")
	for _, u := range s.Upstreams {
		row(w, u.Upstream, u.Pool, u.FailureDomain, u.Window, u.Slots, u.Running, yesNo(u.Leaving))
	}
}
