// Package inflight limits how many bytes of an upstream's memory the requests of
// one daemon hold, so that all daemons together do not exceed that memory. The
// daemons do not coordinate: each knows only how many of them are live, its own
// requests, and the upstream's load reports, which lag and can stop.
//
// The upstream's memory M is divided into three parts:
//
//   - the budget B (BudgetShare of M). After a report that H bytes are held,
//     each of N daemons may grow by (B-H)/N, so all of them together by B-H;
//   - the floor (FloorShare of M). Each daemon may always hold 1/N of it,
//     so that an upstream whose reports stop still gets work;
//   - the slack, which is the rest, for daemons that act on different reports.
//
// If k of N daemons act on a report H1 and the others on a later one H2, the sum
// can exceed B by (k/N)(H2-H1). H2-H1 is growth of the N-k others, at most
// (1-k/N)B between two reports, so the excess is at most B/4, which the slack
// covers. A daemon whose last report is older than MaxReportAge does not grow
// above the larger of its floor and the least that it held shortly before that
// report.
//
// Invariant: Acquire never raises the bytes in flight above Limit, except for one
// large request of a daemon that holds nothing; see Limiter.Fits.
//
//gooseberryroad:pure
package inflight
