// Package cli is the command line. Each subcommand is a file that adds itself
// in an init function.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

// Exit codes of all subcommands.
const (
	ExitOK = 0
	// ExitFailed: the command ran and what it was asked for did not hold.
	ExitFailed = 1
	// ExitUsage: the command line, a settings file or a document is wrong.
	ExitUsage = 2
	// ExitUnavailable: the system asked could not be reached.
	ExitUnavailable = 3
)

// ExitError ends a subcommand with an exit code other than ExitFailed.
type ExitError struct {
	Code int
	Err  error
}

func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Err }

// env is what a subcommand runs in.
type env struct {
	ctx    context.Context
	stdout io.Writer
	stderr io.Writer
}

// command adds a subcommand to the application and returns its full name with
// the function that runs it.
type command func(app *kingpin.Application) map[string]func(env) error

var commands []command

func register(c command) { commands = append(commands, c) }

// Run parses the arguments, runs one subcommand and returns the exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	app := kingpin.New("gooseberryroad", "Serves long model generations on engines that fail.")
	app.HelpFlag.Short('h')
	app.UsageWriter(stderr)
	app.ErrorWriter(stderr)
	app.Terminate(func(code int) { panic(terminateCode(code)) })
	runs := map[string]func(env) error{}
	for _, c := range commands {
		for name, run := range c(app) {
			runs[name] = run
		}
	}
	name, code, done := parseArgs(app, args, stderr)
	if done {
		return code
	}
	err := runs[name](env{ctx: ctx, stdout: stdout, stderr: stderr})
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(stderr, "gooseberryroad:", err)
	var exit *ExitError
	if errors.As(err, &exit) {
		return exit.Code
	}
	return ExitFailed
}

// terminated carries the exit code that kingpin asks for, after --help say.
type terminateCode int

func parseArgs(app *kingpin.Application, args []string, stderr io.Writer) (name string, code int, done bool) {
	defer func() {
		if r := recover(); r != nil {
			t, ok := r.(terminateCode)
			if !ok {
				panic(r)
			}
			code, done = int(t), true
		}
	}()
	name, err := app.Parse(args)
	if err != nil {
		fmt.Fprintln(stderr, "gooseberryroad:", err)
		return "", ExitUsage, true
	}
	return name, ExitOK, false
}

// readFile reads a file named on the command line.
func readFile(path string) ([]byte, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, &ExitError{Code: ExitUsage, Err: err}
	}
	return b, nil
}
