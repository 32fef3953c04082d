package headroom

import "time"

const (
	// inTimeShare is the share of placed requests that is to get its first event within the
	// estimate: engines of one service differ, and read more slowly the more runs generate
	// output, which the learnt speeds do not show.
	inTimeShare = 0.85
	// correctionStep is the change of the correction by one request: it follows in some tens
	// of requests.
	correctionStep = 0.06
	// minCorrection and maxCorrection bound the correction. Below 1 it would undo the margin of
	// a decision; above 3 nothing would be placed.
	minCorrection, maxCorrection = 1, 3
)

// correct adapts the correction to the real time to the first event of a request: each step
// up is larger than a step down, so that it settles where inTimeShare of the requests stay
// below it.
func (s *service) correct(x *sent, now time.Time) {
	if x.planned <= 0 {
		return
	}
	c := max(s.correction, minCorrection)
	if float64(now.Sub(x.at)) > c*float64(x.planned) {
		c += correctionStep * inTimeShare
	} else {
		c -= correctionStep * (1 - inTimeShare)
	}
	s.correction = min(max(c, minCorrection), maxCorrection)
}
