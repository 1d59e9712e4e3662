// Command lentilwood is a router fleet that lets client accounts share model
// capacity fairly. One binary holds the daemons and the operators' commands;
// run "lentilwood --help" for the list.
package main

import (
	"os"

	"lentilwood.example/lentilwood/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
