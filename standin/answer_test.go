package standin_test

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/gooseberryroad/gooseberryroad/standin"
)

func TestStandin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "standin")
}

// Guards against a checker that accepts a damaged answer, which would make
// worthless all tests for complete answers (promise P1 in docs/proof.md),
// answers of one version (promise P2) and answers to the right request
// (promise P4).
var _ = Describe("CheckAnswer", func() {
	const n = 100
	words := func(version, prompt string) []string {
		out := make([]string, n)
		for i := range out {
			out[i] = standin.Token("m", version, prompt, i)
		}
		return out
	}
	check := func(words []string) standin.AnswerReport {
		return standin.CheckAnswer(strings.Join(words, ""), standin.ExpectedAnswer{Model: "m", Version: "v1", Prompt: "p", Tokens: n})
	}
	wholeAnswer := words("v1", "p")
	splice := func(parts ...[]string) []string {
		var out []string
		for _, p := range parts {
			out = append(out, p...)
		}
		return out
	}

	It("accepts an answer without faults", func() {
		r := check(wholeAnswer)
		Expect(r.Err()).NotTo(HaveOccurred())
		Expect(r.Tokens).To(Equal(n))
		Expect(r.Version).To(Equal("v1"))
	})
	DescribeTable("counts each kind of fault separately", func(damaged func() []string, want standin.AnswerReport) {
		r := check(damaged())
		Expect(r.Err()).To(HaveOccurred())
		r.Tokens, r.Version, r.FirstFault = 0, "", ""
		Expect(r).To(Equal(want))
	},
		Entry("a missing token", func() []string { return splice(wholeAnswer[:10], wholeAnswer[11:]) }, standin.AnswerReport{Missing: 1}),
		Entry("a missing end", func() []string { return wholeAnswer[:90] }, standin.AnswerReport{Missing: 10}),
		Entry("no token", func() []string { return nil }, standin.AnswerReport{Missing: n}),
		Entry("a missing start", func() []string { return wholeAnswer[2:] }, standin.AnswerReport{Missing: 2}),
		Entry("a repeated token", func() []string { return splice(wholeAnswer[:10], wholeAnswer[9:]) }, standin.AnswerReport{Repeated: 1}),
		Entry("a repeated answer", func() []string { return splice(wholeAnswer, wholeAnswer) }, standin.AnswerReport{Repeated: n}),
		Entry("tokens beyond the end", func() []string { return append(splice(wholeAnswer), standin.Token("m", "v1", "p", n)) }, standin.AnswerReport{Repeated: 1}),
		Entry("a part of another version", func() []string { return splice(wholeAnswer[:50], words("v2", "p")[50:]) }, standin.AnswerReport{OtherVersion: 50, Missing: 50}),
		Entry("a part of another prompt", func() []string { return splice(wholeAnswer[:50], words("v1", "q")[50:]) }, standin.AnswerReport{OtherPrompt: 50, Missing: 50}),
		Entry("the answer to another prompt", func() []string { return words("v1", "q") }, standin.AnswerReport{OtherPrompt: n, Missing: n}),
		Entry("a word that is no token", func() []string { return splice(wholeAnswer[:10], []string{"Hello "}, wholeAnswer[11:]) }, standin.AnswerReport{Wrong: 1, Missing: 1}),
		Entry("a truncated word", func() []string { return splice(wholeAnswer[:n-1], []string{strings.TrimSpace(wholeAnswer[n-1])}) }, standin.AnswerReport{Wrong: 1, Missing: 1}),
	)
	It("accepts an answer of any one of several versions, but no mixture of versions", func() {
		want := standin.ExpectedAnswer{Model: "m", Versions: []string{"v1", "v2"}, Prompt: "p", Tokens: -1}
		r := standin.CheckAnswer(strings.Join(words("v2", "p"), ""), want)
		Expect(r.Err()).NotTo(HaveOccurred())
		Expect(r.Version).To(Equal("v2"))
		r = standin.CheckAnswer(strings.Join(splice(words("v2", "p")[:5], wholeAnswer[5:]), ""), want)
		Expect(r.OtherVersion).To(Equal(n - 5))
	})

	// Guards against a change to the sequence of tokens that goes undetected. One
	// change can count under several faults, so the test checks only that the
	// report has a fault.
	It("detects any removed, repeated or exchanged token", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			length := rapid.IntRange(2, 60).Draw(t, "length")
			version := rapid.SampledFrom([]string{"v1", "v2", "2026-12-04"}).Draw(t, "version")
			prompt := rapid.String().Draw(t, "prompt")
			text := standin.NewAnswerText("m", version, prompt)
			var tokens []string
			for i := range length {
				tokens = append(tokens, text.Token(i))
			}
			want := standin.ExpectedAnswer{Model: "m", Version: version, Prompt: prompt, Tokens: length}
			if err := standin.CheckAnswer(strings.Join(tokens, ""), want).Err(); err != nil {
				t.Fatal(err)
			}
			i := rapid.IntRange(0, length-1).Draw(t, "i")
			j := rapid.IntRange(0, length-1).Draw(t, "j")
			var damaged []string
			switch rapid.IntRange(0, 3).Draw(t, "fault") {
			case 0:
				damaged = splice(tokens[:i], tokens[i+1:])
			case 1:
				damaged = splice(tokens[:i+1], tokens[j:j+1], tokens[i+1:])
			case 2:
				if i == j {
					t.Skip("no exchange")
				}
				damaged = splice(tokens)
				damaged[i], damaged[j] = damaged[j], damaged[i]
			case 3:
				damaged = splice(tokens)
				damaged[i] = standin.Token("m", version, prompt+"x", i)
			}
			if r := standin.CheckAnswer(strings.Join(damaged, ""), want); r.OK() {
				t.Fatalf("damaged answer %q passes", damaged)
			}
		})
	})

	// Guards against equal tags for versions that a test uses together. A tag of
	// two letters has 676 values.
	It("gives the usual version names different tags", func() {
		seen := map[string]string{}
		for i := range 20 {
			v := fmt.Sprint("v", i)
			token := standin.Token("m", v, "p", 0)
			Expect(seen).NotTo(HaveKey(token[:6]), v)
			seen[token[:6]] = v
		}
	})
})

// FuzzCheckAnswer guards against panics and against accepting a text that is not
// the expected answer.
func FuzzCheckAnswer(f *testing.F) {
	f.Add("", 0)
	f.Add(standin.NewAnswerText("m", "v1", "p").Prefix(3), 3)
	f.Add("aaaaaaaa aaaaaaazzzzzzzzz ", 2)
	f.Fuzz(func(t *testing.T, text string, tokens int) {
		tokens %= 1000
		r := standin.CheckAnswer(text, standin.ExpectedAnswer{Model: "m", Version: "v1", Prompt: "p", Tokens: tokens})
		if r.OK() && tokens >= 0 && text != standin.NewAnswerText("m", "v1", "p").Prefix(tokens) {
			t.Fatalf("%q passes as %d tokens", text, tokens)
		}
	})
}
