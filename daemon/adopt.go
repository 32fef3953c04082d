package daemon

import (
	"sync/atomic"
	"time"

	"github.com/gooseberryroad/gooseberryroad/control"
	"github.com/gooseberryroad/gooseberryroad/entry"
	"github.com/gooseberryroad/gooseberryroad/node"
)

// adoptRepeats are the times at which an adoption is told again. A message can
// be lost, and the former daemon cancels the generation after its grace.
var adoptRepeats = []time.Duration{0, 500 * time.Millisecond, 3 * time.Second, 8 * time.Second}

// adopter tells the daemon at which a generation began that it goes on here.
type adopter struct {
	loop *control.Loop
	self string
}

func (a adopter) tell(daemon, generation string) {
	if daemon == a.self || daemon == "" {
		return
	}
	for _, after := range adoptRepeats {
		time.AfterFunc(after, func() { a.loop.Post(node.GenerationAdopted{Daemon: daemon, Generation: generation}) })
	}
}

// receiver hands messages of other daemons to the part that they concern. The
// front end is made after the control loop, so it is set later.
type receiver struct{ entry atomic.Pointer[entry.Entry] }

func newReceiver() *receiver { return &receiver{} }

func (r *receiver) received(m node.DeliverMessage) {
	if e := r.entry.Load(); e != nil && m.Topic == node.TopicAdopted {
		e.GenerationAdopted(string(m.Body))
	}
}
