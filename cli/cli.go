// Package cli implements the command line of gooseberryroad. The file of each
// subcommand registers it in an init function.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
)

// Exit codes of all subcommands.
const (
	ExitOK = 0
	// ExitFailed means that the command ran, but what it was to do or check failed.
	ExitFailed = 1
	// ExitUsage means that the command line, a settings file or a document is wrong.
	ExitUsage = 2
	// ExitUnavailable means that the system to call could not be reached.
	ExitUnavailable = 3
)

// ExitError is the error of a subcommand that sets its exit code. For other errors
// the exit code is ExitFailed.
type ExitError struct {
	Code int
	Err  error
}

func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Err }

// env holds the context and the output streams of a subcommand.
type env struct {
	ctx    context.Context
	stdout io.Writer
	stderr io.Writer
}

// command adds subcommands to the application. It returns the functions that run
// them by their full names.
type command func(app *kingpin.Application) map[string]func(env) error

var commands []command

func register(c command) { commands = append(commands, c) }

// Run parses the arguments, runs one subcommand and returns the exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	app := kingpin.New("gooseberryroad", "Serve long model generations on engines that may fail.")
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

// terminateCode is the exit code with which kingpin ends the process, for example
// after --help. It is passed to parseArgs by a panic.
type terminateCode int

// parseArgs returns the full name of the subcommand to run. When done is set there
// is none to run, and the process exits with code.
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

// ignoreBrokenPipes keeps the process alive when the reader of its standard output or
// standard error goes away. Without it the next line of the log ends the process.
func ignoreBrokenPipes() { signal.Ignore(syscall.SIGPIPE) }

// readFile reads a file that is named on the command line. Its error has the code
// ExitUsage.
func readFile(path string) ([]byte, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, &ExitError{Code: ExitUsage, Err: err}
	}
	return b, nil
}
