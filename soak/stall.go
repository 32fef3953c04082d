package soak

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/gooseberryroad/gooseberryroad/telemetry"
)

// maxLogLine is the size in bytes above which a line of a daemon's log is an error.
const maxLogLine = 4 << 20

// recordStall records a stall of the soak's own process, which contains the callers, the
// upstreams, the store and the proxies.
func (s *Soak) recordStall(stall telemetry.Stall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observed.stalls = append(s.observed.stalls, interval{stall.From, stall.From.Add(stall.Length)})
}

// readStalls returns the stalls that a daemon logged.
func readStalls(log io.Reader) ([]interval, error) {
	var out []interval
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		var line struct {
			Msg, Length string
			From        time.Time
		}
		// Other lines may have other types in these fields, and the last one may be
		// incomplete.
		if json.Unmarshal(lines.Bytes(), &line) != nil || line.Msg != telemetry.StallMessage {
			continue
		}
		length, err := time.ParseDuration(line.Length)
		if err != nil {
			return nil, eris.Wrap(err, "read the length of a stall")
		}
		out = append(out, interval{line.From, line.From.Add(length)})
	}
	return out, eris.Wrap(lines.Err(), "read the log of a daemon")
}

// addDaemonStalls reads the daemons' logs and adds their stalls to the faults. It returns
// those that no other fault of the daemon explains.
func (s *Soak) addDaemonStalls() ([]interval, error) {
	var unexplained []interval
	for i, d := range s.daemons {
		f, err := os.Open(d.log.Name())
		if err != nil {
			return nil, eris.Wrap(err, "open the log of a daemon")
		}
		stalls, err := readStalls(f)
		_ = f.Close() // it was only read
		if err != nil {
			return nil, err
		}
		for _, iv := range stalls {
			if s.observed.faults.unaffected(Daemons, i, iv.from, iv.to) {
				unexplained = append(unexplained, iv)
			}
		}
		for _, iv := range stalls {
			s.observed.faults.add(Daemons, i, iv)
		}
		s.observed.daemonStalls[i] = stalls
	}
	return unexplained, nil
}

// addStalls adds the stalls of the soak's own process to the faults of all components:
// while it stood still, callers, upstreams, store and proxies did as well.
func (obs *observations) addStalls() {
	for _, iv := range obs.stalls {
		obs.faults.add(StoreServer, 0, iv)
		for i := range obs.daemons {
			for _, c := range []ComponentType{Daemons, StoreLinks, ClientLinks, PeerLinks, ControlLinks} {
				obs.faults.add(c, i, iv)
			}
		}
		// The two sets of targets of moves are numbered after the plain replicas.
		for i := range obs.engines + 3*obs.plainReplicas {
			obs.faults.add(Upstreams, i, iv)
		}
	}
}

// stalled reports whether the soak or a daemon did not run for some of the time.
func (obs *observations) stalled(daemon int, during interval) bool {
	for _, iv := range slices.Concat(obs.stalls, obs.daemonStalls[daemon]) {
		if iv.from.Before(during.to) && during.from.Before(iv.to) {
			return true
		}
	}
	return false
}

// anyStalled reports whether the soak or any daemon did not run for some of the time.
func (obs *observations) anyStalled(during interval) bool {
	for i := range obs.daemons {
		if obs.stalled(i, during) {
			return true
		}
	}
	return false
}
