package standin

import (
	"fmt"
	"hash/fnv"
	"strings"
)

// A token is a word of lower-case letters and a space. It names the prompt it
// answers, the version that made it and its index, so that a checker can tell
// from the answer alone what went wrong:
//
//	prompt tag (4 letters), version tag (2), check letter (1), index in base 26
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

// PromptOf returns the text that stands for a chat request as a prompt.
func PromptOf(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		fmt.Fprintf(&b, "<%s> %s\n", m.Role, m.Content)
	}
	return b.String()
}

// Text generates the tokens of one answer.
type AnswerText struct {
	prompt, version string
	seed            uint64
}

// NewText returns the answer of a version of a model to a prompt.
func NewAnswerText(model, version, prompt string) AnswerText {
	return AnswerText{
		prompt:  letters(hash(model, prompt), promptTagLetters),
		version: letters(hash(version), versionTagLetters),
		seed:    hash(model, version, prompt),
	}
}

// Token returns token i with its trailing space.
func (t AnswerText) Token(i int) string {
	b := make([]byte, 0, 16)
	b = append(b, t.prompt...)
	b = append(b, t.version...)
	b = append(b, t.check(i))
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

func (t AnswerText) check(i int) byte {
	// The multiplier is the 64-bit golden ratio of multiplicative hashing.
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

// Answer says what an answer should be.
type ExpectedAnswer struct {
	Model  string
	Prompt string
	// Version is the version that must have made the answer. When it is
	// empty, any single one of Versions may have made it.
	Version  string
	Versions []string
	// Tokens is the expected number of tokens; negative accepts any number.
	Tokens int
}

// Report is the result of CheckAnswer. The counts are numbers of tokens.
type AnswerReport struct {
	// Tokens is the number of words of the answer.
	Tokens int
	// Version is the version that made the answer, as far as it is known.
	Version string
	// Missing tokens were skipped or are absent at the end.
	Missing int
	// Repeated tokens have an index that was seen before, or lie beyond the
	// expected end.
	Repeated int
	// OtherPrompt tokens belong to the answer to another prompt or of another
	// model.
	OtherPrompt int
	// OtherVersion tokens were made by another version.
	OtherVersion int
	// Wrong words are no tokens at all.
	Wrong int
	// First describes the first fault.
	First string
}

// OK reports whether the answer has no fault.
func (r AnswerReport) OK() bool {
	return r.Missing == 0 && r.Repeated == 0 && r.OtherPrompt == 0 && r.OtherVersion == 0 && r.Wrong == 0
}

// Err returns nil for a whole answer, and an error with all counts otherwise.
func (r AnswerReport) Err() error {
	if r.OK() {
		return nil
	}
	return fmt.Errorf("answer of %d tokens has %d missing, %d repeated, %d of another prompt, %d of another version, %d wrong; first: %s",
		r.Tokens, r.Missing, r.Repeated, r.OtherPrompt, r.OtherVersion, r.Wrong, r.First)
}

// CheckAnswer compares the text of an answer with what it should be.
func CheckAnswer(text string, want ExpectedAnswer) AnswerReport {
	var r AnswerReport
	fault := func(n *int, by int, format string, args ...any) {
		*n += by
		if r.First == "" {
			r.First = fmt.Sprintf(format, args...)
		}
	}
	versions := want.Versions
	if want.Version != "" {
		versions = []string{want.Version}
	}
	texts := make([]AnswerText, len(versions))
	for i, v := range versions {
		texts[i] = NewAnswerText(want.Model, v, want.Prompt)
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
			fault(&r.Wrong, 1, "word %d is %q", pos, w)
			continue
		}
		if prompt != promptTag {
			fault(&r.OtherPrompt, 1, "word %d, %q, belongs to another prompt", pos, w)
			continue
		}
		if chosen < 0 {
			for i, t := range texts {
				if t.version == version {
					chosen = i
				}
			}
		}
		if chosen < 0 || texts[chosen].version != version {
			fault(&r.OtherVersion, 1, "word %d, %q, is of another version", pos, w)
			continue
		}
		switch {
		case texts[chosen].Token(index) != w:
			fault(&r.Wrong, 1, "word %d is %q instead of %q", pos, w, texts[chosen].Token(index))
			continue
		case index < next:
			fault(&r.Repeated, 1, "word %d, %q, repeats token %d", pos, w, index)
			continue
		case want.Tokens >= 0 && index >= want.Tokens:
			fault(&r.Repeated, 1, "word %d, %q, is token %d of %d", pos, w, index, want.Tokens)
			continue
		case index > next:
			fault(&r.Missing, index-next, "token %d is missing", next)
		}
		next = index + 1
	}
	if want.Tokens > next {
		fault(&r.Missing, want.Tokens-next, "token %d is missing at the end", next)
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
