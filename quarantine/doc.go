// Package quarantine finds requests that crash the upstream that runs them and
// keeps them from running again. A request is known by a hash of its content,
// so that a re-send under another key or through another daemon is the same.
//
// A crash makes the requests in flight on that upstream suspects. A suspect
// runs again on trial: at most one suspect is on an upstream at a time, and a
// suspect runs once at a time in the whole fleet. A trial is announced
// Options.ReserveTime before it starts; of two that collide, all daemons let the
// same one go on. A suspect that completes is cleared. A suspect is quarantined when an upstream crashed while
// it was the only one on trial there.
//
// Upstreams that crash together quarantine nobody: of the crashes in one data
// centre or of one version within Options.Window, a request must have been in
// flight in more than half. From three such crashes on, only requests in more
// than half of them become suspects, so that the loss of a data centre does not
// put all of its work on trial.
//
// A verdict waits for Options.SettleTime, so that other daemons' reports of the
// same crash, and other crashes that belong to it, can arrive. Until then the
// suspect is held.
//
// One content can take down c+1 upstreams, where c is the number of copies
// that were started before the first crash was known at their daemons: 2 for a
// caller that waits for each failure, 3 when two daemons see the first crashes
// at the same time. It is one more for each trial that proves nothing: another
// upstream of the same data centre or version crashed within the window, or two
// daemons put different suspects on one upstream because a notice took longer
// than Options.ReserveTime. It is one more if a wrong verdict is taken back, which happens at most
// once for a content, and for each trial beside which a request ran that was in
// flight at another crash and was not on trial. A caller of this package that
// lets contents continue without a trial after their first crash adds one for
// each copy. In a partition it holds for each side. After the expiry
// of a quarantine it begins anew; each refused re-send renews the expiry.
//
// State serves daemons with links to each other. CrashLog is for daemons that only
// share the platform's store, where each message is a priced call and a stream
// cannot wait for a trial: it counts crashes that followed each other.
//
//gooseberryroad:pure
package quarantine
