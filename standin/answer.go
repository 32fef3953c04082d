package standin

import (
	"fmt"
	"hash/fnv"
	"strings"
)

// A token is a word of lower-case letters followed by a space. It encodes the
// prompt that it answers, the version that generated it and its index, so that
// a checker can tell from the answer alone which fault occurred:
//
//	prompt tag (4 letters), version tag (2), check letter (1), index in base 26
//	with the least significant digit first
const (
	promptTagLetters  = 4
	versionTagLetters = 2
	checkLetters      = 1
	indexOffset       = promptTagLetters + versionTagLetters + checkLetters
	maxIndexLetters   = 8
)

// Message is one turn of a chat request.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// PromptOf renders the messages of a chat request as one prompt text.
func PromptOf(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		fmt.Fprintf(&b, "<%s> %s\n", m.Role, m.Content)
	}
	return b.String()
}

// AnswerText generates the tokens of the answer to one prompt.
type AnswerText struct {
	promptTag, versionTag string
	seed                  uint64
}

// NewAnswerText returns the text with which a version of a model answers a
// prompt.
func NewAnswerText(model, version, prompt string) AnswerText {
	return AnswerText{
		promptTag:  letters(hash(model, prompt), promptTagLetters),
		versionTag: letters(hash(version), versionTagLetters),
		seed:       hash(model, version, prompt),
	}
}

// Token returns token i with its trailing space.
func (t AnswerText) Token(i int) string {
	b := make([]byte, 0, 16)
	b = append(b, t.promptTag...)
	b = append(b, t.versionTag...)
	b = append(b, t.checkLetter(i))
	n := i
	for {
		b = append(b, 'a'+byte(n%26))
		n /= 26
		if n == 0 {
			break
		}
	}
	return string(append(b, ' '))
}

// Prefix returns the first n tokens.
func (t AnswerText) Prefix(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(t.Token(i))
	}
	return b.String()
}

func (t AnswerText) checkLetter(i int) byte {
	// The multiplier is 2^64 divided by the golden ratio, as multiplicative
	// (Fibonacci) hashing uses it.
	x := (t.seed ^ uint64(i)) * 0x9E3779B97F4A7C15
	return 'a' + byte((x>>32)%26)
}

// Token returns token i of the answer of a version of a model to a prompt.
func Token(model, version, prompt string, i int) string {
	return NewAnswerText(model, version, prompt).Token(i)
}

func hash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		fmt.Fprintf(h, "%d:%s", len(p), p)
	}
	return h.Sum64()
}

func letters(x uint64, n int) string {
	// The low bits of FNV-1a are the weakest, so the high half is mixed in.
	x ^= x >> 32
	b := make([]byte, n)
	for i := range b {
		b[i] = 'a' + byte(x%26)
		x /= 26
	}
	return string(b)
}

// ExpectedAnswer describes the answer that CheckAnswer accepts.
type ExpectedAnswer struct {
	Model  string
	Prompt string
	// Version is the version that must have generated the answer. When it is
	// empty, any single one of Versions may have generated it.
	Version  string
	Versions []string
	// Tokens is the expected number of tokens; negative accepts any number.
	Tokens int
}

// AnswerReport is the result of CheckAnswer. All counts are in tokens.
type AnswerReport struct {
	// Tokens is the number of words of the answer.
	Tokens int
	// Version is the version that generated the answer; empty when no token
	// identified it.
	Version string
	// Missing counts tokens that were skipped or are absent at the end.
	Missing int
	// Repeated counts tokens whose index was passed before or lies beyond the
	// expected end.
	Repeated int
	// OtherPrompt counts tokens of an answer to another prompt or by another
	// model.
	OtherPrompt int
	// OtherVersion counts tokens that another version generated.
	OtherVersion int
	// Wrong counts words that are no tokens, or that differ from the token
	// with their index.
	Wrong int
	// FirstFault describes the first fault.
	FirstFault string
}

// OK reports whether the answer has no fault.
func (r AnswerReport) OK() bool {
	return r.Missing == 0 && r.Repeated == 0 && r.OtherPrompt == 0 && r.OtherVersion == 0 && r.Wrong == 0
}

// Err returns nil for an answer without faults, and otherwise an error with
// all counts.
func (r AnswerReport) Err() error {
	if r.OK() {
		return nil
	}
	return fmt.Errorf("answer of %d tokens has %d missing, %d repeated, %d of another prompt, %d of another version, %d wrong; first: %s",
		r.Tokens, r.Missing, r.Repeated, r.OtherPrompt, r.OtherVersion, r.Wrong, r.FirstFault)
}

// CheckAnswer compares the text of an answer with the expected answer.
func CheckAnswer(text string, want ExpectedAnswer) AnswerReport {
	var r AnswerReport
	addFault := func(n *int, by int, format string, args ...any) {
		*n += by
		if r.FirstFault == "" {
			r.FirstFault = fmt.Sprintf(format, args...)
		}
	}
	versions := want.Versions
	if want.Version != "" {
		versions = []string{want.Version}
	}
	candidates := make([]AnswerText, len(versions))
	for i, v := range versions {
		candidates[i] = NewAnswerText(want.Model, v, want.Prompt)
	}
	chosen := -1
	if want.Version != "" {
		chosen = 0
	}
	promptTag := letters(hash(want.Model, want.Prompt), promptTagLetters)
	next := 0
	words := strings.SplitAfter(text, " ")
	if words[len(words)-1] == "" {
		words = words[:len(words)-1]
	}
	for pos, w := range words {
		r.Tokens++
		prompt, version, index, ok := parseToken(w)
		if !ok {
			addFault(&r.Wrong, 1, "word %d is %q", pos, w)
			continue
		}
		if prompt != promptTag {
			addFault(&r.OtherPrompt, 1, "word %d, %q, belongs to another prompt", pos, w)
			continue
		}
		if chosen < 0 {
			for i, t := range candidates {
				if t.versionTag == version {
					chosen = i
				}
			}
		}
		if chosen < 0 || candidates[chosen].versionTag != version {
			addFault(&r.OtherVersion, 1, "word %d, %q, is of another version", pos, w)
			continue
		}
		switch {
		case candidates[chosen].Token(index) != w:
			addFault(&r.Wrong, 1, "word %d is %q instead of %q", pos, w, candidates[chosen].Token(index))
			continue
		case index < next:
			addFault(&r.Repeated, 1, "word %d, %q, repeats token %d", pos, w, index)
			continue
		case want.Tokens >= 0 && index >= want.Tokens:
			addFault(&r.Repeated, 1, "word %d, %q, is token %d of %d", pos, w, index, want.Tokens)
			continue
		case index > next:
			addFault(&r.Missing, index-next, "token %d is missing", next)
		}
		next = index + 1
	}
	if want.Tokens > next {
		addFault(&r.Missing, want.Tokens-next, "token %d is missing at the end", next)
	}
	if chosen >= 0 {
		r.Version = versions[chosen]
	}
	return r
}

// parseToken splits a word into its tags and index.
func parseToken(w string) (prompt, version string, index int, ok bool) {
	w, ok = strings.CutSuffix(w, " ")
	if !ok || len(w) <= indexOffset || len(w) > indexOffset+maxIndexLetters {
		return "", "", 0, false
	}
	for i := range len(w) {
		if w[i] < 'a' || w[i] > 'z' {
			return "", "", 0, false
		}
	}
	for i := len(w) - 1; i >= indexOffset; i-- {
		index = index*26 + int(w[i]-'a')
	}
	return w[:promptTagLetters], w[promptTagLetters : promptTagLetters+versionTagLetters], index, true
}
