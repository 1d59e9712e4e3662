package scripter

import (
	"os"
	"path/filepath"
	"slices"

	"github.com/rogpeppe/go-internal/testscript"

	"lentilwood.example/lentilwood/internal/cli"
)

// cmdOperate runs an operators' command against a router:
// operate ROUTER COMMAND [ARGUMENT]... With "!" it must fail.
func cmdOperate(ts *testscript.TestScript, neg bool, args []string) {
	w, ok := ts.Value(worldKey{}).(*world)
	if !ok || len(args) < 2 {
		ts.Fatalf("usage: operate ROUTER COMMAND [ARGUMENT]...")
	}
	r, err := w.router(args[0])
	ts.Check(err)
	token := filepath.Join(ts.Getenv("WORK"), ".operatorToken")
	ts.Check(os.WriteFile(token, []byte(tokenOf(author)), 0o600))
	line := slices.Concat(args[1:], []string{"--router", r.OperatorsAddr(), "--token-file", token})
	code := cli.Run(line, ts.Stdout(), ts.Stderr())
	if (code != 0) != neg {
		ts.Fatalf("the command ended with code %d", code)
	}
}
