package duty

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// maxRecent is the number of earlier holders that a record names. A daemon that is not
// among them did not hold the subject within a lease, unless eight others did.
const maxRecent = 8

// Holder identifies a VM. Two VMs with the same name differ by their addresses.
type Holder struct {
	Name string `json:"name"`
	// Address is the relay address as HOST:PORT.
	Address string `json:"address"`
}

// Record says who holds a subject. It is the value of both keys of a subject: one is
// removed with the lease of the holder, the other one keeps the highest token and the last
// holders.
type Record struct {
	Holder
	Token uint64 `json:"token"`
	// Nonce identifies the transaction that wrote the record.
	Nonce string `json:"nonce"`
	// Recent holds the holders before this one, the latest first.
	Recent []Holder `json:"recent,omitempty"`
}

// WrittenBy reports whether a process, by Options.Process, wrote the record.
func (r Record) WrittenBy(process string) bool { return strings.HasPrefix(r.Nonce, process+"-") }

// Encode returns the value of a key.
func (r Record) Encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(err) // strings and numbers can always be encoded
	}
	return b
}

// DecodeRecord decodes the value of a key.
func DecodeRecord(b []byte) (Record, error) {
	var r Record
	err := json.Unmarshal(b, &r)
	return r, eris.Wrap(err, "decode the record of a duty")
}

// holdersForSuccessor returns the earlier holders for the record of the next holder.
func (r Record) holdersForSuccessor(next Holder) []Holder {
	if r.Holder == (Holder{}) || r.Holder == next {
		return r.Recent
	}
	out := append([]Holder{r.Holder}, r.Recent...)
	return out[:min(len(out), maxRecent)]
}

// heldBeforeLast reports whether h held the subject before the holder of the record.
func (r Record) heldBeforeLast(h Holder) bool {
	return r.Holder != h && slices.Contains(r.Recent, h)
}

// Seen is a key as the store had it at an observation.
type Seen struct {
	Record Record
	// Revision is the key's revision; 0 if the key does not exist.
	Revision uint64
}
