package daemon

import (
	"sync/atomic"
	"time"

	"github.com/gooseberryroad/gooseberryroad/control"
	"github.com/gooseberryroad/gooseberryroad/entry"
	"github.com/gooseberryroad/gooseberryroad/node"
)

// adoptionNoticeDelays are the times after an adoption at which its notice is
// sent. It is repeated because a message can be lost, and the former daemon
// cancels the generation after its abandon grace if it receives none.
var adoptionNoticeDelays = []time.Duration{0, 500 * time.Millisecond, 3 * time.Second, 8 * time.Second}

// adoptionNotifier notifies the daemon at which a generation began that this
// daemon continues it.
type adoptionNotifier struct {
	loop *control.Loop
	self string
}

// notify sends the notices without blocking. It does nothing for generations that
// began at this daemon or at an unknown one.
func (a adoptionNotifier) notify(daemon, generation string) {
	if daemon == a.self || daemon == "" {
		return
	}
	for _, after := range adoptionNoticeDelays {
		time.AfterFunc(after, func() { a.loop.Post(node.GenerationAdopted{Daemon: daemon, Generation: generation}) })
	}
}

// messageDispatcher passes messages of other daemons to the component that handles
// them. The control loop needs the dispatcher before the callers' front end exists,
// so entry is set later, and messages that arrive before are dropped.
type messageDispatcher struct{ entry atomic.Pointer[entry.Entry] }

func newMessageDispatcher() *messageDispatcher { return &messageDispatcher{} }

func (d *messageDispatcher) dispatch(m node.DeliverMessage) {
	if e := d.entry.Load(); e != nil && m.Topic == node.TopicAdopted {
		e.GenerationAdopted(string(m.Body))
	}
}
