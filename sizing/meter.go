package sizing

import (
	"math"
	"time"
)

// interval is the time that one sample covers.
const interval = time.Second

const (
	// sentIntervals is the number of past intervals in a message. Messages are sent at
	// least twice a second, so a sample is lost only if about six messages in a row are.
	sentIntervals = 3
	// maxPromptTokens bounds the prompt tokens of one request, which clients state.
	maxPromptTokens = 1 << 20
	// paceStep is the ratio of neighbouring classes of the time to read one token. The
	// error of a class is half of that, which is less than the noise of the demand.
	paceStep = 1.05
	// minPaceClass and maxPaceClass are the classes of 1 µs and 1 min a token. A prompt of
	// unknown length counts as one token.
	minPaceClass, maxPaceClass = -142, 226
)

// Sample is what the streams of one service asked of engines at one daemon in one
// interval.
type Sample struct {
	// Arrived counts the streams that arrived, refused ones included, and Tokens their
	// prompt tokens. Tokens includes prompts that are read again after an engine was lost.
	Arrived int   `json:"n,omitempty"`
	Tokens  int64 `json:"t,omitempty"`
	// First counts the runs that had their first event, FirstMs the sum of their times
	// from sending to that event.
	First   int   `json:"f,omitempty"`
	FirstMs int64 `json:"fm,omitempty"`
	// Ended counts the runs that ended after their first event, OutputMs the sum of their
	// times from the first event to the end.
	Ended    int   `json:"e,omitempty"`
	OutputMs int64 `json:"om,omitempty"`
	// Running is the number of runs at the end of the interval.
	Running int `json:"r,omitempty"`
	// Pace counts the first events of runs with little ahead of them, by the class of the
	// time that one prompt token took.
	Pace map[int]int `json:"p,omitempty"`
}

// IntervalSamples holds the samples of one interval, by service.
type IntervalSamples struct {
	// Seq counts the intervals from the start of the process.
	Seq int64 `json:"s"`
	// AgeMs is how long ago the interval ended when the message was made. It makes the
	// samples independent of the clocks of the daemons.
	AgeMs    int64             `json:"a"`
	Services map[string]Sample `json:"v,omitempty"`
}

// Message holds the last intervals of a daemon. A message that repeats intervals does no
// harm.
type Message struct {
	// Process is the start of the daemon's process in Unix milliseconds; a later process
	// of the daemon has a larger one.
	Process    int64             `json:"process"`
	DataCentre string            `json:"data_centre"`
	Intervals  []IntervalSamples `json:"intervals"`
}

// Meter counts what the streams of a daemon ask of engines, by service.
type Meter struct {
	process    int64
	dataCentre string
	start      time.Time
	seq        int64
	current    map[string]*Sample
	running    map[string]int
	past       []IntervalSamples
}

// NewMeter returns the meter of a process that starts now in a data centre.
func NewMeter(dataCentre string, now time.Time) *Meter {
	return &Meter{process: now.UnixMilli(), dataCentre: dataCentre, start: now, current: map[string]*Sample{}, running: map[string]int{}}
}

// Arrived counts a stream that arrived, whether it is served or not. promptTokens of 0 are
// unknown; the stream counts like one of a single token then.
func (m *Meter) Arrived(service string, promptTokens int, now time.Time) {
	s := m.sample(service, now)
	s.Arrived++
	s.Tokens += tokenCount(promptTokens)
}

// ReadAgain counts a prompt that is read once more after its engine was lost.
func (m *Meter) ReadAgain(service string, promptTokens int, now time.Time) {
	m.sample(service, now).Tokens += tokenCount(promptTokens)
}

// Sent counts a run that was sent to an engine.
func (m *Meter) Sent(service string, now time.Time) {
	m.advance(now)
	m.running[service]++
}

// FirstEvent counts the first event of a run that read its prompt. littleAhead says that
// no other prompt was known to be read before it.
func (m *Meter) FirstEvent(service string, promptTokens int, took time.Duration, littleAhead bool, now time.Time) {
	s := m.sample(service, now)
	s.First++
	s.FirstMs += max(took.Milliseconds(), 0)
	if littleAhead && took > 0 {
		if s.Pace == nil {
			s.Pace = map[int]int{}
		}
		s.Pace[paceClass(took.Seconds()*1000/float64(tokenCount(promptTokens)))]++
	}
}

// Ended counts the end of a run that Sent counted; output is the time since its first
// event, 0 if there was none.
func (m *Meter) Ended(service string, output time.Duration, now time.Time) {
	s := m.sample(service, now)
	m.running[service] = max(m.running[service]-1, 0)
	if output > 0 {
		s.Ended++
		s.OutputMs += output.Milliseconds()
	}
}

// Message returns the last intervals that have ended.
func (m *Meter) Message(now time.Time) Message {
	m.advance(now)
	out := Message{Process: m.process, DataCentre: m.dataCentre}
	for _, in := range m.past {
		end := m.start.Add(time.Duration(in.Seq+1) * interval)
		in.AgeMs = max(now.Sub(end).Milliseconds(), 0)
		out.Intervals = append(out.Intervals, in)
	}
	return out
}

func (m *Meter) sample(service string, now time.Time) *Sample {
	m.advance(now)
	s := m.current[service]
	if s == nil {
		s = &Sample{}
		m.current[service] = s
	}
	return s
}

// advance ends the intervals before now. A call with an earlier time counts for the
// current interval.
func (m *Meter) advance(now time.Time) {
	seq := int64(now.Sub(m.start) / interval)
	// After a long pause of the process only the intervals that are sent are made.
	if seq > m.seq+sentIntervals {
		m.seq = seq - sentIntervals
	}
	for ; m.seq < seq; m.seq++ {
		in := IntervalSamples{Seq: m.seq, Services: make(map[string]Sample, len(m.current))}
		for service, s := range m.current {
			in.Services[service] = *s
		}
		for service, n := range m.running {
			if s := in.Services[service]; n > 0 {
				s.Running = n
				in.Services[service] = s
			}
		}
		clear(m.current)
		m.past = append(m.past, in)
		if len(m.past) > sentIntervals {
			m.past = m.past[1:]
		}
	}
}

func tokenCount(promptTokens int) int64 { return int64(min(max(promptTokens, 1), maxPromptTokens)) }

// paceClass returns the class of a time for each token in milliseconds.
func paceClass(ms float64) int {
	c := math.Round(math.Log(ms) / math.Log(paceStep))
	return int(min(max(c, minPaceClass), maxPaceClass))
}

// paceOfClass returns the time for each token in seconds.
func paceOfClass(class int) float64 { return math.Pow(paceStep, float64(class)) / 1000 }
