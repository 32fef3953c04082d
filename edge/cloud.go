package edge

import (
	"context"
	"errors"
	"time"

	"github.com/gooseberryroad/gooseberryroad/store"
)

// Cloud is the control service of the deployment, which takes usage reports and orders of
// replicas. A call whose outcome is not known may be repeated.
type Cloud interface {
	// ReportUsage reports the requests of a window by account.
	ReportUsage(ctx context.Context, call CloudCall, window int64, counts map[string]int64) error
	// OrderReplicas orders the number of replicas of a service in a data centre.
	OrderReplicas(ctx context.Context, call CloudCall, service, dataCentre string, n int) error
}

// CloudCall says for whom a call is made.
type CloudCall struct {
	// Holder is the name of the daemon that holds the subject, and Token its fencing token.
	Holder string
	Token  uint64
}

// Errors of a Cloud. Any other one is a control service that cannot be reached or failed.
var (
	// ErrCallRate reports that the control service takes no more calls for now.
	ErrCallRate = errors.New("control service takes no more calls for now")
	// ErrCallRejected reports that the control service does not accept the call.
	ErrCallRejected = errors.New("control service does not accept the call")
)

// DutyStore is the part of the platform's store that duties need.
type DutyStore interface{ store.Transactor }

// Planner decides numbers of replicas. Its methods are called by one goroutine.
type Planner interface {
	// Orders returns the orders to send now for a service whose subject this daemon holds,
	// by data centre. since is when the daemon took the subject.
	Orders(service string, since, now time.Time) map[string]int
	// Ordered says how an order ended.
	Ordered(service, dataCentre string, n int, now time.Time, err error)
}
