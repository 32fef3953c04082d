// Package inflight limits what one daemon holds in flight at one upstream, in
// bytes of the upstream's memory, so that all daemons together do not outgrow
// it. There is no agreement between the daemons: each knows only how many of
// them are live, its own work, and the upstream's load reports, which lag and
// can stop.
//
// The upstream's memory M is divided in three parts:
//
//   - the budget B (BudgetShare of M). After a report that H bytes are held,
//     each of N daemons may grow by (B-H)/N, so all of them together by B-H;
//   - the floor (FloorShare of M). Each daemon may always hold its Nth part,
//     so that an upstream whose reports stop still gets work;
//   - the rest is slack for daemons that act on different reports.
//
// With k of N daemons on a report H1 and the others on a later one H2, the sum
// can exceed B by (k/N)(H2-H1). H2-H1 is growth of the N-k others, at most
// (1-k/N)B between two reports, so the excess is at most B/4, which the slack
// covers. A daemon whose last report is older than MaxReportAge does not grow
// above the larger of its floor and what it already holds.
//
// Invariant: in-flight bytes never rise above Limit through Acquire.
//
//gooseberryroad:pure
package inflight
