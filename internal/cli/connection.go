package cli

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/ansel1/merry/v2"

	"lentilwood.example/lentilwood/internal/operator"
)

// tokenVariable is the environment variable that holds an operator's token.
const tokenVariable = "LENTILWOOD_TOKEN"

// connection holds the flags of every command that asks a router.
type connection struct {
	Router    []string      `env:"LENTILWOOD_ROUTER" default:"127.0.0.1:7080" help:"Operators' address of a router, host:port or https://host:port; several are tried in turn."`
	TokenFile string        `help:"File that holds the operator's bearer token; without it the environment variable LENTILWOOD_TOKEN does."`
	CAFile    string        `name:"ca-file" help:"Authority of the routers' certificates, in PEM."`
	Timeout   time.Duration `default:"10s" help:"How long one router may take to answer."`
	JSON      bool          `name:"json" help:"Print JSON instead of a table."`
}

func (c connection) client() (*operator.Client, error) {
	token, err := c.token()
	if err != nil {
		return nil, err
	}
	cfg := operator.ClientConfig{Routers: c.Router, Token: token, Timeout: c.Timeout}
	if c.CAFile != "" {
		pem, err := os.ReadFile(c.CAFile)
		if err != nil {
			return nil, err
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return nil, merry.Errorf("%s: holds no certificate in PEM", c.CAFile)
		}
		cfg.TLS = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	}
	return operator.NewClient(cfg), nil
}

func (c connection) token() (string, error) {
	token := os.Getenv(tokenVariable)
	if c.TokenFile != "" {
		data, err := os.ReadFile(c.TokenFile)
		if err != nil {
			return "", err
		}
		token = string(data)
	}
	token = strings.TrimSpace(token)
	if token == "" {
		return "", merry.Errorf("no operator's token: name a file by --token-file or set %s", tokenVariable)
	}
	if strings.ContainsAny(token, " \t\r\n") {
		return "", merry.New("the operator's token holds white space")
	}
	return token, nil
}

// print writes an answer as JSON or by table.
func (c connection) print(s *streams, answer any, table func(w io.Writer)) error {
	if c.JSON {
		return printJSON(s.out, answer)
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	table(w)
	return w.Flush()
}

func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// row writes one line of a table.
func row(w io.Writer, cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		fmt.Fprint(w, cell)
	}
	fmt.Fprintln(w)
}

// clockTime formats a time for tables.
func clockTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(time.RFC3339)
}

// yesNo formats a boolean for tables.
func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
