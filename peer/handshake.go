package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"io"

	"github.com/rotisserie/eris"

	"github.com/gooseberryroad/gooseberryroad/membership"
	"github.com/gooseberryroad/gooseberryroad/peerpb"
)

// protocol is the version of the protocol. It is raised when daemons of different
// versions could not understand each other.
const protocol = 1

const nonceBytes = 32

// errRefused reports that the other side closed the link in the handshake.
var errRefused = eris.New("the other daemon refused the link")

// errWrongKey reports a daemon of another fleet, or one whose settings have
// a key other than that of this one.
var errWrongKey = errors.New("the other daemon does not hold the key of this fleet; compare [peers] key in both settings")

// computeProof returns the HMAC of both nonces under the shared key. The role
// keeps the proof of one side from being sent back as that of the other, and the
// descriptions of the members keep it from being used in another pair's handshake.
func computeProof(key, role string, dialerNonce, listenerNonce []byte, dialer, listener *peerpb.Member) []byte {
	h := hmac.New(sha256.New, []byte(key))
	field := func(b []byte) {
		h.Write(binary.BigEndian.AppendUint32(nil, uint32(len(b))))
		h.Write(b)
	}
	field([]byte("gooseberryroad peer 1 " + role))
	field(dialerNonce)
	field(listenerNonce)
	for _, m := range []*peerpb.Member{dialer, listener} {
		field([]byte(m.GetName()))
		field([]byte(m.GetDataCentre()))
		field([]byte(m.GetRegion()))
		field([]byte(m.GetAddress()))
		field(binary.BigEndian.AppendUint64(nil, m.GetIncarnation()))
	}
	return h.Sum(nil)
}

func newNonce() []byte {
	b := make([]byte, nonceBytes)
	// Read never returns an error.
	_, _ = rand.Read(b)
	return b
}

// checkHello validates a Hello except for its proof. The listener sends the error
// text to the dialer.
func checkHello(h *peerpb.Hello, self membership.Member) error {
	switch {
	case h.GetRefused() != "":
		return eris.Wrap(errRefused, h.GetRefused())
	case h.GetProtocol() != protocol:
		return eris.Errorf("the other daemon speaks protocol %d instead of %d", h.GetProtocol(), protocol)
	case len(h.GetNonce()) != nonceBytes:
		return eris.Errorf("a nonce has %d bytes instead of %d", len(h.GetNonce()), nonceBytes)
	case h.GetMember().GetName() == "":
		return eris.New("the other daemon does not give its name")
	case h.GetMember().GetName() == self.Name:
		return eris.New("the other daemon has the name of this one")
	}
	return nil
}

// dialHandshake checks that the listener holds the key and proves the same to it.
// It returns the description of the listener.
func dialHandshake(c io.ReadWriter, key string, self membership.Member) (membership.Member, error) {
	mine := &peerpb.Hello{Protocol: protocol, Member: memberToProto(self), Nonce: newNonce()}
	if _, err := writeFrame(c, mine); err != nil {
		return membership.Member{}, err
	}
	theirs := &peerpb.Hello{}
	if _, err := readFrame(c, theirs, maxHelloBytes); err != nil {
		return membership.Member{}, err
	}
	if err := checkHello(theirs, self); err != nil {
		return membership.Member{}, err
	}
	if !hmac.Equal(theirs.GetProof(), computeProof(key, "listener", mine.Nonce, theirs.Nonce, mine.Member, theirs.Member)) {
		return membership.Member{}, errWrongKey
	}
	answer := &peerpb.Hello{Protocol: protocol, Proof: computeProof(key, "dialer", mine.Nonce, theirs.Nonce, mine.Member, theirs.Member)}
	if _, err := writeFrame(c, answer); err != nil {
		return membership.Member{}, err
	}
	return memberFromProto(theirs.Member), nil
}

// acceptHandshake is the listener's side of dialHandshake. It returns the
// description of the dialer.
func acceptHandshake(c io.ReadWriter, key string, self membership.Member) (membership.Member, error) {
	theirs := &peerpb.Hello{}
	if _, err := readFrame(c, theirs, maxHelloBytes); err != nil {
		return membership.Member{}, err
	}
	if err := checkHello(theirs, self); err != nil {
		_, _ = writeFrame(c, &peerpb.Hello{Protocol: protocol, Refused: err.Error()})
		return membership.Member{}, err
	}
	mine := &peerpb.Hello{Protocol: protocol, Member: memberToProto(self), Nonce: newNonce()}
	mine.Proof = computeProof(key, "listener", theirs.Nonce, mine.Nonce, theirs.Member, mine.Member)
	if _, err := writeFrame(c, mine); err != nil {
		return membership.Member{}, err
	}
	answer := &peerpb.Hello{}
	if _, err := readFrame(c, answer, maxHelloBytes); err != nil {
		return membership.Member{}, err
	}
	if !hmac.Equal(answer.GetProof(), computeProof(key, "dialer", theirs.Nonce, mine.Nonce, theirs.Member, mine.Member)) {
		return membership.Member{}, errWrongKey
	}
	return memberFromProto(theirs.Member), nil
}
