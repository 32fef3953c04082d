package cli

import (
	"encoding/json"
	"errors"
	"io"

	"github.com/alecthomas/kingpin/v2"

	"github.com/gooseberryroad/gooseberryroad/demo"
)

func init() { register(demoCommand) }

func demoCommand(app *kingpin.Application) map[string]func(env) error {
	cmd := app.Command("demo", "Run a small fleet in this process, inject failures into it and check the promises. Exits with 1 when one did not hold.")
	output := cmd.Flag("output", "Format of the result.").Default("text").Enum("text", "json")
	return map[string]func(env) error{cmd.FullCommand(): func(e env) error {
		var progress io.Writer = e.stdout
		if *output == "json" {
			progress = e.stderr
		}
		result, err := demo.Run(e.ctx, progress)
		if err != nil {
			return err
		}
		if *output == "json" {
			enc := json.NewEncoder(e.stdout)
			enc.SetIndent("", "  ")
			if err := enc.Encode(result); err != nil {
				return err
			}
		}
		if !result.Passed {
			return errors.New("a promise did not hold")
		}
		return nil
	}}
}
