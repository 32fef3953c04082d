package gateway

import (
	"time"

	"github.com/gooseberryroad/gooseberryroad/placement"
	"github.com/gooseberryroad/gooseberryroad/registry"
)

// recordLimit records the limit that an upstream names in the head of an answer, or that
// it names none. Only a proven answer to a request ends a limit: that to a control call,
// for which sentAt is zero, need not name it.
func (g *Gateway) recordLimit(in registry.Instance, head ResponseHead, id string, sentAt time.Time) {
	now := time.Now()
	news, limited := placement.LimitUnchanged, 0
	g.withTracker(func(b *placement.Tracker) {
		switch {
		case head.LimitErr != nil:
			news = b.SaidUnreadableLimit(in)
		case head.Limit != nil:
			news = b.SaidLimit(in, *head.Limit, now)
		case head.Sealed:
			news = b.SaidNoLimit(in, sentAt, now)
		}
		limited = b.LimitedUpstreams()
	})
	if news == placement.LimitUnchanged {
		return
	}
	limitedUpstreams.Set(float64(limited))
	log := g.o.Logger.With("upstream", in.ID, "data_centre", in.DataCentre, "id", id)
	switch news {
	case placement.LimitNamed:
		log.Info("upstream names a limit", "requests_per_second", *head.Limit, "daemons", g.o.Directory.View().Daemons)
	case placement.LimitChanged:
		log.Info("upstream changes its limit", "requests_per_second", *head.Limit)
	case placement.LimitEnded:
		log.Info("upstream names no limit any more")
	case placement.LimitUnreadable:
		log.Warn("limit of an upstream ignored", "cause", head.LimitErr)
	}
}
