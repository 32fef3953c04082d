package edge

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/gooseberryroad/gooseberryroad/retrybudget"
)

// Settings of one daemon.
type Settings struct {
	// Name is unique in the deployment.
	Name       string
	DataCentre string
	// Clients is the address for requests, Readiness the one for the balancer's
	// checks, Relay the one for other daemons; all HOST:PORT.
	ClientAddress    string
	ReadinessAddress string
	RelayAddress     string
	// MetricsHost and MetricsPort are where metrics are served; port 0 is nowhere.
	MetricsHost string
	MetricsPort int
	// Seeds are relay addresses of other daemons; they may be stale.
	Seeds        []string
	StoreAddress string
	// MemoryMB is the memory that the process may use; 0 is unknown.
	MemoryMB int
	// LinkMbps is the width of the VM's network link in Mbit/s; 0 is unknown.
	LinkMbps float64
	// StopGrace is the time from the request to stop until the process is killed.
	StopGrace time.Duration
	// RepeatRatio, RepeatSlack and RepeatWindow are the fleet's retry budget.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
}

// budget is the fleet's retry budget.
func (s Settings) budget() retrybudget.Options {
	return retrybudget.Options{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow}
}

// Check reports settings that cannot work.
func (s Settings) Check() error {
	switch {
	case s.Name == "":
		return eris.New("settings: the daemon has no name")
	case s.ClientAddress == "" || s.ReadinessAddress == "":
		return eris.New("settings: the addresses for clients and for readiness checks are needed")
	case s.StoreAddress == "":
		return eris.New("settings: the store's address is needed")
	case s.StopGrace < 0 || s.RetryRatio < 0 || s.RetrySlack < 0 || s.RetryWindow < 0:
		return eris.New("settings: times and ratios cannot be negative")
	}
	return nil
}
