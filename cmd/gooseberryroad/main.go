// Command gooseberryroad runs a daemon that serves long model generations on engines
// that may fail. Further subcommands change and inspect services, check files, and run
// stand-ins, the demo, the bench and the soak.
package main

import (
	"context"
	"os"

	"github.com/gooseberryroad/gooseberryroad/cli"
)

func main() {
	os.Exit(cli.Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
