// Command review2 plays the cases of the second review that are scripts.
package main

import (
	"fmt"
	"os"
	"time"
)

var cases = map[string]func(trouble bool) bool{
	"handles": handlesCase,
	"storms":  stormsCase,
	"frozen":  frozenCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE RECORD")
		os.Exit(2)
	}
	openRecord(os.Args[2])
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fail("temporary folder: %v", err)
	}
	tempDir = dir
	trouble := os.Getenv("TROUBLE") != "0"
	logf("case %s, trouble %v", os.Args[1], trouble)
	time.AfterFunc(110*time.Second, func() { fail("the case takes too long") })
	broken := cases[os.Args[1]](trouble)
	cleanup()
	if broken {
		logf("the rule was broken")
		os.Exit(1)
	}
	logf("the rule held")
}
