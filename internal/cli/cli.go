// Package cli is the command line of lentilwood: one file for each command.
//
// # Usage
//
//	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
package cli

import (
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

// Exit codes of the process.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Version is the version that "lentilwood version" prints.
const Version = "0.1.0"

// commands is the whole command line, as kong reads it.
type commands struct {
	Router   routerCommand   `cmd:"" help:"Run a router."`
	Demo     demoCommand     `cmd:"" help:"Run a whole fleet in this process and show what it does under load."`
	Load     loadCommand     `cmd:"" help:"Send a load to routers on this machine and check the answers."`
	Soak     soakCommand     `cmd:"" help:"Run the programs as processes, harm them from outside and check the promises."`
	Standin  standinCommands `cmd:"" help:"Run a small stand-in for a part of the platform."`
	Settings settingsCommand `cmd:"" help:"Work with settings files."`

	Config   configCommands   `cmd:"" help:"Show and change the configuration of the fleet."`
	Status   statusCommand    `cmd:"" help:"Show the fleet or a client account."`
	Drain    drainCommand     `cmd:"" help:"Give an upstream no new work."`
	Evacuate evacuateCommands `cmd:"" help:"Empty old VMs by a deadline."`

	Explain explainCommand `cmd:"" help:"Tell a request's story from the logs of routers."`

	Slopes slopesCommand `cmd:"" hidden:"" help:"Fit lines through results of benchmarks (make slopes)."`

	Version versionCommand `cmd:"" help:"Print the version."`
}

// streams are where commands write.
type streams struct {
	out, err io.Writer
}

type exitRequest int

// Run parses args, runs the command that they name and returns the exit code
// of the process.
func Run(args []string, stdout, stderr io.Writer) (code int) {
	defer func() {
		if r := recover(); r != nil {
			exit, ok := r.(exitRequest)
			if !ok {
				panic(r)
			}
			code = int(exit)
		}
	}()
	var c commands
	parser, err := kong.New(&c,
		kong.Name("lentilwood"),
		kong.Description("A router fleet that lets client accounts share model capacity fairly."),
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { panic(exitRequest(code)) }),
		kong.UsageOnError(),
	)
	if err != nil {
		panic(err)
	}
	kctx, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(stderr, "lentilwood: %v\n", err)
		return exitUsage
	}
	err = kctx.Run(&streams{out: stdout, err: stderr})
	var coded *exitError
	if errors.As(err, &coded) {
		fmt.Fprintf(stderr, "lentilwood: %v\n", err)
		return coded.code
	}
	if err != nil {
		fmt.Fprintf(stderr, "lentilwood: %v\n", err)
		return exitFailed
	}
	return exitOK
}

// exitError is an error with the exit code that it asks for.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }
