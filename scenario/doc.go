// Package scenario holds whole sessions as scripts: separate processes of
// daemons and stand-ins, faults, and what callers and operators saw. The
// scripts are in testdata; the commands that they use are in the test files.
// Run the tests with -update to rewrite the expected sessions.
package scenario
