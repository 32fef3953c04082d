// Package a is marked as a decision package.
//
//gooseberryroad:pure
package a

import (
	"math/rand/v2"
	"os" // want `import of os`
	"time"
)

type Action interface{}

func bad(m map[string]int) []Action {
	_ = time.Now() // want `call of time.Now`
	_ = rand.IntN(3) // want `global randomness`
	_ = rand.New(rand.NewPCG(1, 2)).IntN(3)
	go os.Getpid() // want `go statement`
	var out []Action
	for k := range m {
		out = append(out, k) // want `actions appended in map order`
	}
	return out
}
