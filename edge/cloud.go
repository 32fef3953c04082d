package edge

import (
	"context"
	"errors"

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
