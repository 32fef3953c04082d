package edge

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/gooseberryroad/gooseberryroad/retrybudget"
)

// Settings are the settings of one daemon.
type Settings struct {
	// Name is the name of the daemon, unique in the deployment.
	Name       string
	DataCentre string
	// ClientAddress is the address for requests, ReadinessAddress the one for the
	// balancer's checks and RelayAddress the one for other daemons, all as
	// HOST:PORT.
	ClientAddress    string
	ReadinessAddress string
	RelayAddress     string
	// MetricsHost and MetricsPort are where metrics are served; with port 0 they
	// are not served.
	MetricsHost string
	MetricsPort int
	// Seeds are the relay addresses of other daemons; they may be out of date.
	Seeds        []string
	StoreAddress string
	// MemoryMB is the memory that the process may use; 0 is unknown.
	MemoryMB int
	// MaxFDs is the number of descriptors that the process may have open; 0 leaves only the
	// limit that the system sets for the process.
	MaxFDs int
	// LinkMbps is the bandwidth of the VM's network link in Mbit/s; 0 is unknown.
	LinkMbps float64
	// StopGrace is the time from the request to stop until the process is killed.
	StopGrace time.Duration
	// MaxStaleness is the time within which a change that the store has accepted is in
	// force; 0 stands for directory.DefaultMaxStaleness.
	MaxStaleness time.Duration
	// MaxRevocationTime is the time within which a key that was removed from the
	// configuration must be refused, and MaxDrainTime that after which an upstream that
	// was removed must get no more requests; 0 is unknown.
	MaxRevocationTime, MaxDrainTime time.Duration
	// RetryRatio, RetrySlack and RetryWindow are the options of the fleet's retry
	// budget.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// Duties are the duties that one daemon of the deployment has at a time.
	Duties DutySettings
}

// DutySettings describe the calls to the deployment's control service that are the duty of
// one daemon at a time. The zero value is a deployment without duties.
type DutySettings struct {
	// ControlAddress is the address of the control service as HOST:PORT.
	ControlAddress string
	// Usage says that the usage of each window has to be reported, Scaling that numbers of
	// upstreams can be ordered.
	Usage, Scaling bool
	// CallsPerSecond is how many calls the control service takes from all daemons together;
	// 0 is unknown.
	CallsPerSecond float64
	// Lease is the time within which no two daemons may act by turns for the same subject.
	Lease time.Duration
	// Window is the length of a window of usage, and ReportDue the time after its end at
	// which its report is due. Tolerance is the relative error that a report may have.
	Window, ReportDue time.Duration
	Tolerance         float64
}

// Any reports whether the deployment has duties.
func (d DutySettings) Any() bool { return d.Usage || d.Scaling }

// minDutyLease is the shortest lease that the store grants.
const minDutyLease = time.Second

// check returns an error if the daemon cannot perform the duties.
func (d DutySettings) check() error {
	switch {
	case !d.Any():
		return nil
	case d.Lease < minDutyLease:
		return eris.Errorf("settings: duties need a lease of at least %v", minDutyLease)
	case d.Usage && (d.Window <= 0 || d.ReportDue <= 0):
		return eris.New("settings: usage reports need the length of a window and the time at which a report is due")
	case d.CallsPerSecond < 0 || d.Tolerance < 0:
		return eris.New("settings: rates and tolerances cannot be negative")
	}
	return nil
}

// budget returns the options of the fleet's retry budget.
func (s Settings) budget() retrybudget.Options {
	return retrybudget.Options{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow}
}

// Check returns an error if the daemon cannot work with the settings.
func (s Settings) Check() error {
	switch {
	case s.Name == "":
		return eris.New("settings: the daemon has no name")
	case s.ClientAddress == "" || s.ReadinessAddress == "":
		return eris.New("settings: the addresses for clients and for readiness checks are required")
	case s.StoreAddress == "":
		return eris.New("settings: the store's address is required")
	case s.MaxFDs < 0:
		return eris.New("settings: the number of descriptors cannot be negative")
	case s.StopGrace < 0 || s.RetryRatio < 0 || s.RetrySlack < 0 || s.RetryWindow < 0 || s.MaxStaleness < 0 ||
		s.MaxRevocationTime < 0 || s.MaxDrainTime < 0:
		return eris.New("settings: times and ratios cannot be negative")
	}
	return s.Duties.check()
}
