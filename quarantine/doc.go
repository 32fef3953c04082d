// Package quarantine finds requests that crash the upstream that runs them and
// keeps them from running again. A request is identified by a hash of its
// content, so that it is recognised when it is sent again under another key or
// through another daemon.
//
// A crash makes the requests in flight on that upstream suspects. A suspect
// runs again only on trial: at most one suspect is on an upstream at a time, and
// a suspect runs once at a time in the whole fleet. A trial is announced
// Options.ReserveTime before it starts. When two announced trials conflict, all
// daemons keep the same one. A suspect that completes is cleared. A suspect is
// quarantined when an upstream crashed while it was the only suspect on trial
// there.
//
// Crashes with a common cause lead to no quarantine: a request is quarantined
// only if it was in flight in more than half of the crashes in the same data
// centre, and in more than half of those of the same version, within
// Options.Window. From three such crashes on, only requests in more than half
// of them become suspects, so that the loss of a data centre does not put all
// of its work on trial.
//
// A verdict waits for Options.SettleTime, so that other daemons' reports of the
// same crash, and other crashes that belong to it, can arrive. Until then the
// suspect is held.
//
// One content can crash up to c+1 upstreams, where c is the number of copies
// that were started before the first crash was known at their daemons: 2 for a
// caller that waits for each failure, 3 when two daemons see the first crashes
// at the same time. The bound rises by one in each of these cases:
//
//   - for each inconclusive trial: another upstream of the same data centre or
//     version crashed within the window, or two daemons put different suspects
//     on one upstream because a notice took longer than Options.ReserveTime;
//   - if a wrong verdict is lifted, which happens at most once for a content;
//   - for each trial beside which a request ran that was in flight at another
//     crash and was not on trial;
//   - for each copy, if the caller of this package lets contents continue
//     without a trial after their first crash.
//
// In a partition the bound holds for each side. When a quarantine expires, the
// count starts again; each refused re-send renews the expiry.
//
// State serves daemons that are connected to each other. CrashLog serves daemons
// that share only the platform's store, where each message is a priced call and
// a stream cannot wait for a trial: it counts successive crashes instead. PartLog
// does the same for parts of prompts that different requests share.
//
//gooseberryroad:pure
package quarantine
