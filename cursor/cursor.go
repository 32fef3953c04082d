// Package cursor seals and opens the resume cursors that callers get with each event.
// Sealing encrypts and authenticates a cursor. A cursor holds everything that a daemon
// needs to continue a generation at its engine, so daemons share no state but the key.
package cursor

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"io"
	"time"
)

// Cursor is the position of a caller in one generation.
type Cursor struct {
	// Generation is the ID of the answer over all its attempts.
	Generation string
	Service    string
	Version    string
	Upstream   string
	// EngineID is the ID of the attempt at the upstream.
	EngineID string
	// Daemon is the name of the daemon that sealed the cursor. It is notified when
	// another daemon continues the generation.
	Daemon  string
	Attempt int
	// Next is the index of the next token that the caller needs.
	Next int
	// BodyHash is the hash of the request body without the field delivered_text.
	BodyHash [16]byte
	// Delivered is the running hash of the delivered text.
	Delivered Hash
	Expires   time.Time
}

// Errors of Open.
var (
	// ErrInvalid reports a cursor that was not sealed with this key for this
	// account.
	ErrInvalid = errors.New("cursor is not valid for this account")
	// ErrExpired reports a cursor whose time Expires has passed.
	ErrExpired = errors.New("cursor has expired")
)

const (
	formatVersion = 1
	saltSize      = 16
	// maxLength is the maximum length of a cursor's text in bytes. It bounds the
	// work spent on a forged cursor.
	maxLength = 2048
)

// Sealer opens cursors and creates a Stream for each caller connection. It is safe for
// concurrent use if its random reader is.
type Sealer struct {
	secret []byte
	random io.Reader
}

// NewSealer returns a sealer whose secret is derived from the key text of the settings.
// The reader supplies one salt for each stream and must be cryptographically random.
func NewSealer(key string, random io.Reader) (*Sealer, error) {
	secret, err := hkdf.Extract(sha256.New, []byte(key), []byte("gooseberryroad cursor"))
	if err != nil {
		return nil, err
	}
	return &Sealer{secret: secret, random: random}, nil
}

// aead returns the cipher of the stream with the salt.
func (s *Sealer) aead(salt []byte) (cipher.AEAD, error) {
	key, err := hkdf.Expand(sha256.New, s.secret, "stream "+string(salt), 32)
	if err != nil {
		return nil, err
	}
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, err
	}
	return cipher.NewGCM(block)
}

// Stream seals the cursors of one caller connection. It is not safe for concurrent use.
// Each stream has its own key and counts its nonces, because random nonces under one key
// would reach the bound of 2^32 messages after 25 minutes at 2.8 million tokens per
// second.
type Stream struct {
	aead      cipher.AEAD
	salt      [saltSize]byte
	account   []byte
	counter   uint32
	plaintext []byte
}

// Stream returns a new stream with a random salt that seals cursors for the account.
func (s *Sealer) Stream(account string) (*Stream, error) {
	st := &Stream{account: []byte(account)}
	if _, err := io.ReadFull(s.random, st.salt[:]); err != nil {
		return nil, err
	}
	var err error
	st.aead, err = s.aead(st.salt[:])
	return st, err
}

// Seal returns the sealed cursor as text that is safe in headers and SSE fields. It
// fails when all nonces of the stream are used.
func (s *Stream) Seal(c Cursor) (string, error) {
	if s.counter == 1<<32-1 {
		return "", errors.New("cursor stream has used all nonces")
	}
	s.counter++
	s.plaintext = c.append(s.plaintext[:0])
	out := make([]byte, 0, 1+saltSize+4+len(s.plaintext)+16)
	out = append(out, formatVersion)
	out = append(out, s.salt[:]...)
	out = binary.BigEndian.AppendUint32(out, s.counter)
	out = s.aead.Seal(out, nonce(s.counter), s.plaintext, s.account)
	return base64.RawURLEncoding.EncodeToString(out), nil
}

// nonce returns the GCM nonce of a counter.
func nonce(counter uint32) []byte {
	n := make([]byte, 12)
	binary.BigEndian.PutUint32(n[8:], counter)
	return n
}

// Open decrypts and checks a cursor for the account. Its errors are ErrInvalid and
// ErrExpired.
func (s *Sealer) Open(now time.Time, account, text string) (Cursor, error) {
	if len(text) > maxLength {
		return Cursor{}, ErrInvalid
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(raw) < 1+saltSize+4+16 || raw[0] != formatVersion {
		return Cursor{}, ErrInvalid
	}
	aead, err := s.aead(raw[1 : 1+saltSize])
	if err != nil {
		return Cursor{}, ErrInvalid
	}
	rest := raw[1+saltSize:]
	plaintext, err := aead.Open(nil, nonce(binary.BigEndian.Uint32(rest)), rest[4:], []byte(account))
	if err != nil {
		return Cursor{}, ErrInvalid
	}
	c, ok := parse(plaintext)
	if !ok {
		return Cursor{}, ErrInvalid
	}
	if !now.Before(c.Expires) {
		return Cursor{}, ErrExpired
	}
	return c, nil
}

// append appends the encoding of the cursor that parse reads.
func (c *Cursor) append(b []byte) []byte {
	for _, s := range []string{c.Generation, c.Service, c.Version, c.Upstream, c.EngineID, c.Daemon} {
		b = binary.AppendUvarint(b, uint64(len(s)))
		b = append(b, s...)
	}
	b = binary.AppendUvarint(b, uint64(c.Attempt))
	b = binary.AppendUvarint(b, uint64(c.Next))
	b = binary.AppendUvarint(b, uint64(c.Expires.Unix()))
	b = append(b, c.BodyHash[:]...)
	return c.Delivered.append(b)
}

func parse(b []byte) (Cursor, bool) {
	var c Cursor
	ok := true
	number := func() uint64 {
		n, w := binary.Uvarint(b)
		if w <= 0 || n > 1<<40 {
			ok = false
			return 0
		}
		b = b[w:]
		return n
	}
	for _, dst := range []*string{&c.Generation, &c.Service, &c.Version, &c.Upstream, &c.EngineID, &c.Daemon} {
		n := number()
		if !ok || n > uint64(len(b)) {
			return Cursor{}, false
		}
		*dst, b = string(b[:n]), b[n:]
	}
	c.Attempt = int(number())
	c.Next = int(number())
	c.Expires = time.Unix(int64(number()), 0)
	if !ok || len(b) < len(c.BodyHash) {
		return Cursor{}, false
	}
	b = b[copy(c.BodyHash[:], b):]
	ok = c.Delivered.parse(b)
	return c, ok
}

// Hash is a running hash of text. It does not depend on how the text is split into
// tokens, and it can continue from a stored state. It chains SHA-256, truncated to 128
// bits, over blocks of 32 bytes.
type Hash struct {
	chain [16]byte
	tail  [32]byte // only the first length%32 bytes are used
	// length is the length of the whole text in bytes.
	length uint64
}

// HashText returns the hash of a text.
func HashText(text string) Hash {
	var h Hash
	h.Write(text)
	return h
}

// Write adds text to the hash.
func (h *Hash) Write(text string) {
	for len(text) > 0 {
		used := int(h.length % 32)
		n := copy(h.tail[used:], text)
		text = text[n:]
		h.length += uint64(n)
		if used+n == 32 {
			var in [48]byte
			copy(in[:], h.chain[:])
			copy(in[16:], h.tail[:])
			sum := sha256.Sum256(in[:])
			copy(h.chain[:], sum[:])
			h.tail = [32]byte{}
		}
	}
}

func (h *Hash) append(b []byte) []byte {
	b = binary.AppendUvarint(b, h.length)
	b = append(b, h.chain[:]...)
	return append(b, h.tail[:h.length%32]...)
}

func (h *Hash) parse(b []byte) bool {
	n, w := binary.Uvarint(b)
	if w <= 0 || len(b) != w+16+int(n%32) {
		return false
	}
	h.length = n
	copy(h.chain[:], b[w:])
	copy(h.tail[:], b[w+16:])
	return true
}
