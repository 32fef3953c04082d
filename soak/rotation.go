package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gooseberryroad/gooseberryroad/internal/pause"
)

const (
	// readinessInterval is the time between two checks of a daemon's readiness, and
	// maxMisses the number of failed ones after which it gets no new connections. Both
	// are those of the users' platform.
	readinessInterval = time.Second
	maxMisses         = 2
)

// rotation holds which daemons get new connections, as the balancer of the users'
// platform.
type rotation struct{ out []atomic.Bool }

// watchRotation checks the readiness of daemons until the context ends.
func watchRotation(ctx context.Context, daemons []*daemon) *rotation {
	r := &rotation{out: make([]atomic.Bool, len(daemons))}
	for i, d := range daemons {
		go func() {
			client := &http.Client{Timeout: readinessInterval, Transport: &http.Transport{DisableKeepAlives: true}}
			for misses := 0; pause.For(ctx, readinessInterval); {
				if misses++; isReady(client, d.ReadyURL()) {
					misses = 0
				}
				r.out[i].Store(misses >= maxMisses)
			}
		}()
	}
	return r
}

// pick returns the number of a random daemon in rotation, or of any one if fewer than
// half are in rotation.
func (r *rotation) pick(random *rand.Rand) int {
	var in []int
	for i := range r.out {
		if !r.out[i].Load() {
			in = append(in, i)
		}
	}
	if 2*len(in) < len(r.out) {
		return random.IntN(len(r.out))
	}
	return in[random.IntN(len(in))]
}

// isReady reports whether a daemon answers a check of its readiness with 200.
func isReady(client *http.Client, url string) bool {
	res, err := client.Get(url)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}
