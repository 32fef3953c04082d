// Package sizing decides how many replicas of a service run in each data centre.
//
// Each daemon has a Meter, which package gateway feeds, and sends its Message to the
// daemon that holds the service. That daemon has a Planner: it merges the messages, is
// told the services that it holds whenever the directory's view changes, and asks for
// orders about once a second. The code that holds the duty calls Planner.Order, sends the
// orders to the control service and reports those that failed with Planner.Failed.
//
// docs/design/sizing.md explains the rules. Neither type has a lock: their owners
// serialise the calls.
//
//gooseberryroad:pure
package sizing
