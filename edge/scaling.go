package edge

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"github.com/gooseberryroad/gooseberryroad/directory"
	"github.com/gooseberryroad/gooseberryroad/duty"
	"github.com/gooseberryroad/gooseberryroad/relay"
	"github.com/gooseberryroad/gooseberryroad/sizing"
	"github.com/gooseberryroad/gooseberryroad/sizing/sizinglog"
)

const (
	// planInterval is how often the numbers of replicas are decided.
	planInterval = time.Second
	// demandInterval is the shortest time between two messages with demand to one holder.
	demandInterval = 500 * time.Millisecond
	// demandSendTimeout bounds one message with demand. The intervals in it are repeated in
	// the next messages.
	demandSendTimeout = 700 * time.Millisecond
)

// replicaPlanner decides numbers of replicas; sizing.Planner does.
type replicaPlanner interface {
	Merge(daemon string, m sizing.Message, now time.Time) error
	SetServices(held []sizing.Service, now time.Time)
	Order(now time.Time) []sizing.Order
	MaySend(o sizing.Order, now time.Time) bool
	Failed(o sizing.Order)
}

// lowerReplicasAfter is how long a daemon holds a service before it orders fewer replicas. A
// replica that leaves moves its streams, which are late then; it has to stay away for
// minutes to be worth that, and a holder that has just taken over knows too little of the
// demand of minutes.
const lowerReplicasAfter = time.Minute

func newSizingPlanner(now time.Time) replicaPlanner { return sizing.NewPlanner(now) }

// scaling is the state of a daemon whose deployment orders replicas. It is guarded by the
// mutex of duties.
type scaling struct {
	recorder *sizinglog.Recorder
	// planner is nil while this daemon holds no service.
	planner replicaPlanner
	// held are the services that the planner has, view is that from which it has them.
	held []string
	view *directory.View
	// queue holds the orders that have not gone through, by service and data centre.
	queue map[string]map[string]*queuedOrder
	// calledAt is when an order was last sent, by service and data centre.
	calledAt map[string]map[string]time.Time
	nextPlan time.Time
	// sent has what each holder got, by its address.
	sent map[string]*demandSent
}

type queuedOrder struct {
	sizing.Order
	// called says that a call with the order was begun.
	called bool
}

// demandSent describes the messages to one holder.
type demandSent struct {
	// sending says that a message is under way, at is when the last one was sent.
	sending bool
	at      time.Time
	// next is the number of the first interval that has not arrived.
	next int64
}

func newScaling(r *sizinglog.Recorder) *scaling {
	return &scaling{
		recorder: r, queue: map[string]map[string]*queuedOrder{}, calledAt: map[string]map[string]time.Time{}, sent: map[string]*demandSent{},
	}
}

// workOnScaling sends the demand of this daemon to the holders of the services, and orders
// the replicas of those that it holds itself. The caller holds d.mu.
func (d *duties) workOnScaling(now time.Time) {
	d.sendDemand(now)
	s := d.scaling
	held := d.heldServices(now)
	for _, name := range s.held {
		if !slices.Contains(held, name) {
			d.forgetService(name)
		}
	}
	if len(held) == 0 {
		return
	}
	if s.planner == nil {
		s.planner = d.o.NewPlanner(now)
	}
	if s.view != d.view || !slices.Equal(s.held, held) {
		s.held, s.view = held, d.view
		s.planner.SetServices(sizedServices(d.view0(), held, d.o.LowerAfter), now)
	}
	if !now.Before(s.nextPlan) {
		s.nextPlan = now.Add(planInterval)
		d.plan(now)
	}
	for _, name := range held {
		d.sendOrder(name, now)
	}
}

// heldServices returns the services whose subjects this daemon holds, sorted.
func (d *duties) heldServices(now time.Time) []string {
	var out []string
	for _, subject := range d.subjects(d.view0()) {
		service, ok := strings.CutPrefix(subject, subjectScalingStart)
		if _, holds := d.machine.Holding(subject, now); ok && holds {
			out = append(out, service)
		}
	}
	return out
}

// sizedServices describes services to the planner. Those without streams have no demand that
// could be measured and are left out.
func sizedServices(v *directory.View, names []string, lowerAfter time.Duration) []sizing.Service {
	if v.Table == nil {
		return nil
	}
	var out []sizing.Service
	for _, name := range names {
		service, ok := v.Table.Service(name)
		objective, streams := v.Table.StreamObjective(name)
		if !ok || service.Scaling == nil || !streams {
			continue
		}
		s := sizing.Service{Name: name, Scaling: *service.Scaling, Objective: objective, Daemons: v.Daemons, LowerAfter: lowerAfter}
		if c, ok := v.Cutovers[name]; ok {
			s.Moving = c.Order.Open(c.Status)
		}
		for _, in := range v.All {
			if in.Service == name {
				s.Instances = append(s.Instances, in)
			}
		}
		out = append(out, s)
	}
	return out
}

// forgetService drops what is known of a service that this daemon does not hold any more.
// The caller holds d.mu.
func (d *duties) forgetService(name string) {
	s := d.scaling
	if s == nil || !slices.Contains(s.held, name) {
		return
	}
	s.held = slices.DeleteFunc(slices.Clone(s.held), func(n string) bool { return n == name })
	delete(s.queue, name)
	delete(s.calledAt, name)
	s.recorder.Released(name)
	if len(s.held) == 0 {
		s.planner = nil
		return
	}
	s.planner.SetServices(sizedServices(d.view0(), s.held, d.o.LowerAfter), d.o.SinceBoot())
}

// plan decides the numbers. Orders that have not been sent since the last time are decided
// again: they may not be what is needed now.
func (d *duties) plan(now time.Time) {
	s := d.scaling
	for service, orders := range s.queue {
		for dataCentre, o := range orders {
			if o.called && d.calling[subjectScalingStart+service] {
				continue
			}
			s.planner.Failed(o.Order)
			delete(orders, dataCentre)
		}
	}
	for _, o := range s.planner.Order(now) {
		if s.queue[o.Service] == nil {
			s.queue[o.Service] = map[string]*queuedOrder{}
		}
		s.queue[o.Service][o.DataCentre] = &queuedOrder{Order: o}
	}
}

// sendOrder sends an order of a service if one waits: that of the data centre whose last
// order was sent the longest ago, so that none waits for others that fail. The caller holds
// d.mu.
func (d *duties) sendOrder(service string, now time.Time) {
	s, subject := d.scaling, subjectScalingStart+service
	if d.calling[subject] {
		return
	}
	waiting, calledAt := s.queue[service], s.calledAt[service]
	for dataCentre, o := range waiting {
		if !s.planner.MaySend(o.Order, now) {
			s.planner.Failed(o.Order)
			delete(waiting, dataCentre)
		}
	}
	if len(waiting) == 0 {
		return
	}
	dataCentre := slices.MinFunc(slices.Sorted(maps.Keys(waiting)), func(a, b string) int { return calledAt[a].Compare(calledAt[b]) })
	o := waiting[dataCentre]
	var token uint64
	begun := d.call(subject, now, func(ctx context.Context, c CloudCall) error {
		token = c.Token
		return d.o.Cloud.OrderReplicas(ctx, c, service, dataCentre, o.Number)
	}, func(err error) { d.orderEnded(o, token, err) })
	if !begun {
		return
	}
	o.called = true
	if calledAt == nil {
		calledAt = map[string]time.Time{}
		s.calledAt[service] = calledAt
	}
	calledAt[dataCentre] = now
	s.recorder.Orders([]sizing.Order{o.Order})
}

// orderEnded records how the call with an order ended. The caller holds d.mu.
func (d *duties) orderEnded(o *queuedOrder, token uint64, err error) {
	countOrder(err)
	s := d.scaling
	if waiting := s.queue[o.Service]; waiting[o.DataCentre] == o {
		delete(waiting, o.DataCentre)
	}
	if err == nil {
		d.o.Logger.Info("order of replicas accepted", "service", o.Service, "data_centre", o.DataCentre, "number", o.Number, "token", token)
		return
	}
	d.o.Logger.Warn("order of replicas not accepted; it is decided again", "service", o.Service, "data_centre", o.DataCentre,
		"number", o.Number, "token", token, "cause", err)
	if s.planner != nil {
		s.planner.Failed(o.Order)
	}
}

// sendDemand sends the demand of this daemon to each holder of a service with scaling that
// does not have its last intervals. Intervals without streams are sent, too: a lower number
// is ordered only if most daemons are heard. The caller holds d.mu.
func (d *duties) sendDemand(now time.Time) {
	s := d.scaling
	holders := d.demandHolders()
	maps.DeleteFunc(s.sent, func(address string, sent *demandSent) bool {
		return !sent.sending && !slices.Contains(holders, address)
	})
	holders = slices.DeleteFunc(holders, func(address string) bool {
		if s.sent[address] == nil {
			s.sent[address] = &demandSent{}
		}
		sent := s.sent[address]
		return sent.sending || !sent.at.IsZero() && now.Sub(sent.at) < demandInterval
	})
	if len(holders) == 0 || d.o.Demand == nil {
		return
	}
	m := d.o.Demand(time.Now())
	if len(m.Intervals) == 0 {
		return
	}
	next := m.Intervals[len(m.Intervals)-1].Seq + 1
	for _, address := range holders {
		sent := s.sent[address]
		if sent.next >= next {
			continue
		}
		sent.at = now
		if address == d.self.Address {
			sent.next = next
			if err := d.mergeDemand(d.self.Name, m, now); err != nil {
				d.o.Logger.Info("own demand not merged", "cause", err)
			}
			continue
		}
		sent.sending = true
		d.after(func(ctx context.Context) duty.Event {
			ctx, cancel := context.WithTimeout(ctx, demandSendTimeout)
			defer cancel()
			err := d.o.SendDemand(ctx, address, relay.Demand{Daemon: d.self.Name, Message: m})
			countDemandMessage(err == nil)
			if err != nil {
				d.o.Logger.Info("demand not sent", "address", address, "cause", err)
			}
			d.mu.Lock()
			defer d.mu.Unlock()
			sent.sending = false
			if err == nil {
				sent.next = next
			}
			return nil
		})
	}
}

// demandHolders returns the addresses of the daemons that hold services with scaling, each
// once, sorted. The caller holds d.mu.
func (d *duties) demandHolders() []string {
	var out []string
	v := d.view0()
	for _, subject := range d.subjects(v) {
		if !strings.HasPrefix(subject, subjectScalingStart) {
			continue
		}
		// observe logs records that cannot be read.
		if r, err := duty.DecodeRecord(v.Duties[dutyRecordPrefix+subject].Value); err == nil && r.Address != "" {
			out = append(out, r.Address)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// MergeDemand takes the demand of another daemon.
func (d *duties) MergeDemand(m relay.Demand) error {
	if m.Daemon == "" {
		return eris.New("the message names no daemon")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.mergeDemand(m.Daemon, m.Message, d.o.SinceBoot())
}

func (d *duties) mergeDemand(daemon string, m sizing.Message, now time.Time) error {
	s := d.scaling
	if s.planner == nil || len(d.heldServices(now)) == 0 {
		return errHoldsNoService
	}
	err := s.planner.Merge(daemon, m, now)
	if err != nil {
		s.recorder.Ignored(daemon, err, now)
	}
	return err
}

var errHoldsNoService = errors.New("this daemon holds no service with scaling")

// countOrder counts the orders of replicas.
func countOrder(err error) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberryroad_duty_orders_total{accepted="%t"}`, err == nil)).Inc()
}

// countDemandMessage counts the messages with demand to other daemons.
func countDemandMessage(arrived bool) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberryroad_sizing_messages_total{arrived="%t"}`, arrived)).Inc()
}
