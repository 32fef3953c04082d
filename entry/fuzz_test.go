package entry_test

import (
	"bytes"
	"crypto/rand"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/gooseberryroad/gooseberryroad/cursor"
	"github.com/gooseberryroad/gooseberryroad/engine"
	"github.com/gooseberryroad/gooseberryroad/entry"
	"github.com/gooseberryroad/gooseberryroad/node"
)

// Guards against a body or header that causes a panic, a refusal without a code or
// one without an outcome.
func FuzzRequest(f *testing.F) {
	sealer, err := cursor.NewSealer("key of the fleet", rand.Reader)
	if err != nil {
		f.Fatal(err)
	}
	snap := snapshot(1, nil)
	h := entry.New(entry.Options{
		Snapshot: func() *node.Snapshot { return snap }, Sealer: sealer,
		Clients: map[string]engine.Client{"engine.fake": newFakeEngines(1, 3)},
	}).Handler()
	f.Add([]byte(`{"model":"dedication-7b","messages":[{"role":"user","content":"a"}]}`), "", "")
	f.Add([]byte(`{"model":"dedication-7b","messages":[],"delivered_text":"a"}`), "abc", "100")
	f.Add([]byte(`[1]`), "", "x")
	f.Add([]byte(`{"model":"dedication-7b","max_tokens":1e99}`), "", "")
	f.Fuzz(func(t *testing.T, body []byte, cursor, timeout string) {
		r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", bytes.NewReader(body))
		r.Header.Set("Authorization", "Bearer crew key")
		r.Header.Set("Last-Event-ID", cursor)
		r.Header.Set("X-Request-Timeout-Ms", timeout)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		if w.Code == http.StatusOK {
			return
		}
		var b refusalBody
		if err := json.Unmarshal(w.Body.Bytes(), &b); err != nil || b.Error.Outcome == "" || b.Error.Code == "" {
			t.Fatalf("status %d with body %q", w.Code, w.Body)
		}
	})
}
