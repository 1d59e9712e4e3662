package cli

import (
	"context"
	"fmt"
	"io"

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
	fmt.Fprintf(w, "account %s, weight %g, %d waiting, %d running, %.0f tokens, %d refused\n\n",
		a.Account, a.Weight, a.Waiting, a.Running, a.Tokens, a.Refused)
	row(w, "CLASS", "REQUESTS", "REFUSED", "WAITING", "RUNNING")
	for _, c := range a.Classes {
		row(w, c.Class, c.Requests, c.Refused, c.Waiting, c.Running)
	}
}

func statusTables(w io.Writer, s operator.Status) {
	fmt.Fprintf(w, "router %s in %s, version %d, ready: %s, platform's store answers: %s, started %s\n\n",
		s.Router, s.FailureDomain, s.Version, yesNo(s.Ready), yesNo(s.StoreReachable), clockTime(s.Started))
	versionTable(w, s.Routers)
	fmt.Fprintln(w)
	row(w, "ACCOUNT", "WEIGHT", "WAITING", "RUNNING", "TOKENS", "REFUSED")
	for _, a := range s.Accounts {
		row(w, a.Account, a.Weight, a.Waiting, a.Running, fmt.Sprintf("%.0f", a.Tokens), a.Refused)
	}
	fmt.Fprintln(w)
	row(w, "UPSTREAM", "POOL", "DOMAIN", "WINDOW", "RUNNING", "LEAVING", "SLOW")
	for _, u := range s.Upstreams {
		row(w, u.Upstream, u.Pool, u.FailureDomain, u.Window, u.Running, yesNo(u.Leaving), yesNo(u.Slow))
	}
}
