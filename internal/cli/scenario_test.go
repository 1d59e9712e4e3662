package cli

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"lentilwood": func() { os.Exit(Run(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// TestScenarios runs the scripts, in which each process is one of its own.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/scenarios",
		RequireExplicitExec: true,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"host":    setHost,
			"expand":  expandFiles,
			"await":   await,
			"request": request,
			"repeat":  repeatText,
		},
	})
}

// scripts counts the scripts of this process.
var scripts atomic.Int32

// setHost sets a variable to a loopback address that no other script and no
// other process of this test uses, so that scripts can use fixed ports.
func setHost(ts *testscript.TestScript, _ bool, args []string) {
	const firstNet = 10
	pid := os.Getpid()
	ts.Setenv(args[0], fmt.Sprintf("127.%d.%d.%d", firstNet+scripts.Add(1), pid>>8&0xff, pid&0xff))
}

// expandFiles puts the values of variables into files.
func expandFiles(ts *testscript.TestScript, _ bool, patterns []string) {
	for _, pattern := range patterns {
		files, err := filepath.Glob(ts.MkAbs(pattern))
		ts.Check(err)
		for _, file := range files {
			text := os.Expand(ts.ReadFile(file), ts.Getenv)
			ts.Check(os.WriteFile(file, []byte(text), 0o600))
		}
	}
}

// repeatText writes a file with a text that is repeated: repeat FILE TEXT N.
func repeatText(ts *testscript.TestScript, _ bool, args []string) {
	n, err := strconv.Atoi(args[2])
	ts.Check(err)
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(strings.Repeat(args[1], n)), 0o600))
}

// await waits until a URL answers 200.
func await(ts *testscript.TestScript, _ bool, args []string) {
	const (
		limit = 20 * time.Second
		pause = 20 * time.Millisecond
	)
	last := "no answer"
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(pause) {
		resp, err := http.Get(args[0])
		if err != nil {
			last = err.Error()
			continue
		}
		ts.Check(resp.Body.Close())
		if resp.StatusCode == http.StatusOK {
			return
		}
		last = resp.Status
	}
	ts.Fatalf("%s is not ready: %s", args[0], last)
}

// request sends a request and prints status, headers and body:
// request METHOD URL [-h NAME:VALUE]... [-d BODY | -f FILE].
func request(ts *testscript.TestScript, _ bool, args []string) {
	header := http.Header{}
	body := ""
	for rest := args[2:]; len(rest) > 0; rest = rest[2:] {
		switch rest[0] {
		case "-h":
			name, value, _ := strings.Cut(rest[1], ":")
			header.Set(name, value)
		case "-d":
			body = rest[1]
		case "-f":
			body = ts.ReadFile(rest[1])
		default:
			ts.Fatalf("unknown flag %s", rest[0])
		}
	}
	req, err := http.NewRequest(args[0], args[1], strings.NewReader(body))
	ts.Check(err)
	req.Header = header
	resp, err := http.DefaultClient.Do(req)
	ts.Check(err)
	defer func() { _ = resp.Body.Close() }()
	fmt.Fprintln(ts.Stdout(), resp.Status)
	ts.Check(resp.Header.Write(ts.Stdout()))
	_, err = io.Copy(ts.Stdout(), resp.Body)
	ts.Check(err)
}
