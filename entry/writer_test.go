package entry

import (
	"encoding/json"
	"strings"
	"testing"
)

// Guards against chunks that are not valid JSON or that change the text, because
// appendChunk renders them without encoding/json.
func FuzzChunk(f *testing.F) {
	f.Add("plain", "stop", true)
	f.Add("\"\\\x00\x1f\n\r\t\x7f\u2028 ü 蜂 \xff", "", false)
	f.Fuzz(func(t *testing.T, text, reason string, chat bool) {
		w := writer{route: routeCompletions, id: text, model: "m", created: 7, firstChunk: true}
		if chat {
			w.route = routeChat
		}
		for i := range 2 {
			w.buf = w.buf[:0]
			w.appendChunk(text, reason)
			line, ok := strings.CutPrefix(string(w.buf), "data: ")
			line, ok2 := strings.CutSuffix(line, "\n\n")
			if !ok || !ok2 || strings.ContainsAny(line, "\r\n") {
				t.Fatalf("not one event: %q", w.buf)
			}
			var c struct {
				ID      string
				Created int64
				Choices []struct {
					Text         string
					Delta        message
					FinishReason *string `json:"finish_reason"`
				}
			}
			if err := json.Unmarshal([]byte(line), &c); err != nil {
				t.Fatalf("%v: %q", err, line)
			}
			want := strings.ToValidUTF8(text, "\uFFFD")
			if chat {
				c.Choices[0].Text = c.Choices[0].Delta.Content
				if (c.Choices[0].Delta.Role == "assistant") != (i == 0) {
					t.Fatalf("chunk %d has role %q", i, c.Choices[0].Delta.Role)
				}
			}
			// ToValidUTF8 replaces runs of bytes by one U+FFFD.
			got := c.Choices[0].Text
			for strings.Contains(got, "\uFFFD\uFFFD") {
				got = strings.ReplaceAll(got, "\uFFFD\uFFFD", "\uFFFD")
			}
			for strings.Contains(want, "\uFFFD\uFFFD") {
				want = strings.ReplaceAll(want, "\uFFFD\uFFFD", "\uFFFD")
			}
			if got != want || c.Created != 7 {
				t.Fatalf("text %q became %q", text, got)
			}
			if r := c.Choices[0].FinishReason; (r == nil) != (reason == "") {
				t.Fatalf("finish reason %q became %v", reason, r)
			}
		}
	})
}
