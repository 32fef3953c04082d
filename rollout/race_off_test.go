//go:build !race

package rollout_test

const defaultTrials = 200
