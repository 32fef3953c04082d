// Command gooseberryroad serves long model generations on engines that may fail.
package main

import (
	"context"
	"os"

	"github.com/gooseberryroad/gooseberryroad/cli"
)

func main() {
	os.Exit(cli.Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
