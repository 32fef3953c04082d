package bench

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/gooseberryroad/gooseberryroad/client"
	"github.com/gooseberryroad/gooseberryroad/standin"
)

// Workload describes open-loop arrivals: requests are sent at scheduled times
// regardless of how long earlier ones take, so that a slow system does not reduce
// its own load.
type Workload struct {
	// PerSecond is the mean rate of Poisson arrivals, in requests per second.
	PerSecond float64
	// ShortTokens and LongTokens are the lengths of answers; LongShare is the
	// fraction of long ones.
	ShortTokens, LongTokens int
	LongShare               float64
	// PromptWords is the number of random words in each prompt.
	PromptWords int
	// Weights are the relative request rates of the accounts, by account number.
	// By convention the large accounts come first.
	Weights []float64
	// ChatShare is the fraction of requests on the chat route.
	ChatShare float64
	// From and Until bound the arrivals, as times since the start of the run. An
	// Until of 0 means the end of the run.
	From, Until time.Duration
	// Label distinguishes the prompts of the workloads of one run.
	Label string
}

// isSmall reports whether an account has the smallest weight among the accounts
// that send requests.
func (w Workload) isSmall(account int) bool {
	if account >= len(w.Weights) || w.Weights[account] == 0 {
		return false
	}
	for _, x := range w.Weights {
		if x > 0 && x < w.Weights[account] {
			return false
		}
	}
	return true
}

// arrival is one request of a workload.
type arrival struct {
	at      time.Duration
	account int
	prompt  string
	tokens  int
	chat    bool
}

// enginePrompt returns the prompt as the engine receives it.
func (a arrival) enginePrompt() string {
	if !a.chat {
		return a.prompt
	}
	var messages []standin.Message
	for _, m := range client.Messages(a.prompt) {
		messages = append(messages, standin.Message{Role: m.Role, Content: m.Content})
	}
	return standin.PromptOf(messages)
}

// sharedPrefixes is the number of distinct prompt prefixes. Requests of one
// deployment repeat a few instructions, which engines cache.
const sharedPrefixes = 4

// arrivals returns all requests of a run of duration d, ordered by arrival time.
func (w Workload) arrivals(rnd *rand.Rand, d time.Duration) []arrival {
	var out []arrival
	if w.Until > 0 {
		d = min(d, w.Until)
	}
	for at := w.From; ; {
		at += time.Duration(rnd.ExpFloat64() / w.PerSecond * float64(time.Second))
		if at >= d {
			return out
		}
		tokens := w.ShortTokens
		if rnd.Float64() < w.LongShare {
			tokens = w.LongTokens
		}
		out = append(out, arrival{at: at, account: w.pickAccount(rnd), prompt: w.newPrompt(rnd, len(out)), tokens: tokens, chat: rnd.Float64() < w.ChatShare})
	}
}

func (w Workload) pickAccount(rnd *rand.Rand) int {
	var total float64
	for _, x := range w.Weights {
		total += x
	}
	pick := rnd.Float64() * total
	for i, x := range w.Weights {
		if pick -= x; pick < 0 {
			return i
		}
	}
	return 0
}

func (w Workload) newPrompt(rnd *rand.Rand, n int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "instructions %d ", rnd.IntN(sharedPrefixes))
	for range w.PromptWords {
		fmt.Fprintf(&b, "word%d ", rnd.IntN(1000))
	}
	fmt.Fprintf(&b, "request %s%d", w.Label, n)
	return b.String()
}
