package consulkv

import (
	"errors"
	"testing"

	"github.com/gooseberryroad/gooseberryroad/store"
)

// FuzzParseEntries guards against panics and entries without an index, which
// would make the next compare-and-swap create the key.
func FuzzParseEntries(f *testing.F) {
	f.Add([]byte(`[{"Key":"a","Value":"MQ==","ModifyIndex":3}]`))
	f.Add([]byte(`[{"Key":"a","Value":null,"ModifyIndex":0}]`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, b []byte) {
		entries, err := parseEntries(b)
		if err != nil && entries != nil {
			t.Fatal("entries with an error")
		}
		for _, e := range entries {
			if e.Index == 0 {
				t.Fatal("entry without an index")
			}
		}
	})
}

// FuzzParseTxn guards against a response that counts as a success although it does
// not give the index of each operation.
func FuzzParseTxn(f *testing.F) {
	f.Add([]byte(`{"Results":[{"KV":{"Key":"a","ModifyIndex":3}}],"Errors":null}`), true)
	f.Add([]byte(`{"Results":null,"Errors":[{"OpIndex":0,"What":"index is stale"}]}`), false)
	f.Add([]byte(`{"Results":[{"KV":null}],"Errors":[{"OpIndex":-1}]}`), false)
	f.Fuzz(func(t *testing.T, b []byte, ok bool) {
		results, err := parseTxn(b, []store.Op{{Key: "a"}}, ok)
		switch {
		case err == nil:
			if !ok || len(results) != 1 || results[0].Index == 0 || results[0].Conflict {
				t.Fatalf("success with %+v", results)
			}
		case errors.Is(err, store.ErrConflict):
			if ok || len(results) != 1 || !results[0].Conflict {
				t.Fatalf("conflict with %+v", results)
			}
		}
	})
}
