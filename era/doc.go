// Package era decides what stays in force after the platform's store was restored from
// an older copy: until operators and daemons have written again, what was known before
// the restore replaces what the copy holds or lacks.
//
//gooseberryroad:pure
package era
