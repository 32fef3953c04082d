// Package scenario tests the whole system with scripts: they start daemons and
// stand-ins as separate processes, inject faults, and compare the results that
// callers and operators get with the expected output. The scripts are in testdata;
// the test files implement the commands that they use. Run the tests with -update to
// rewrite the expected output in the scripts.
package scenario
