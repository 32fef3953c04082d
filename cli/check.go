package cli

import (
	"bytes"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/gooseberryroad/gooseberryroad/document"
	"github.com/gooseberryroad/gooseberryroad/settings"
)

func init() { register(checkCommand) }

func checkCommand(app *kingpin.Application) map[string]func(env) error {
	cmd := app.Command("check", "Check a settings file or a service document. Exits with 2 when it has a mistake.")
	path := cmd.Arg("file", "A settings file (has a [daemon] section) or a service document (has a [service] section).").Required().String()
	return map[string]func(env) error{cmd.FullCommand(): func(e env) error {
		b, err := readFile(*path)
		if err != nil {
			return err
		}
		var problems document.Problems
		kind := "service document"
		if bytes.Contains(b, []byte("[daemon]")) {
			kind = "settings file"
			_, problems = settings.Parse(*path, b)
		} else {
			_, problems = document.Parse(*path, b)
		}
		if len(problems) > 0 {
			return &ExitError{Code: ExitUsage, Err: problems}
		}
		fmt.Fprintf(e.stdout, "%s: valid %s\n", *path, kind)
		return nil
	}}
}
