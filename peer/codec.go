package peer

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"io"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/gooseberryroad/gooseberryroad/membership"
	"github.com/gooseberryroad/gooseberryroad/node"
	"github.com/gooseberryroad/gooseberryroad/peerpb"
	"github.com/gooseberryroad/gooseberryroad/store"
)

const (
	// MaxMessageBytes bounds one message. It leaves room for a document of the
	// largest size that the store takes, which may not compress, with its envelope.
	MaxMessageBytes = 4 << 20
	// maxHelloBytes bounds a message that is read before the other side has
	// proved that it holds the key.
	maxHelloBytes = 4 << 10
)

// writeFrame writes the length of a message, in 4 bytes big endian, and the
// message. It returns the number of bytes written.
func writeFrame(w io.Writer, m proto.Message) (int, error) {
	b, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, 4, 256), m)
	if err != nil {
		return 0, eris.Wrap(err, "encode a message")
	}
	if len(b)-4 > MaxMessageBytes {
		return 0, eris.Errorf("message of %d bytes is above the limit of %d", len(b)-4, MaxMessageBytes)
	}
	binary.BigEndian.PutUint32(b, uint32(len(b)-4))
	n, err := w.Write(b)
	return n, eris.Wrap(err, "write a message")
}

// readFrame reads one message of at most limit bytes and returns the number of
// bytes read.
func readFrame(r io.Reader, m proto.Message, limit int) (int, error) {
	var header [4]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, eris.Wrap(err, "read a message")
	}
	size := int(binary.BigEndian.Uint32(header[:]))
	if size > limit {
		return 0, eris.Errorf("message of %d bytes is above the limit of %d", size, limit)
	}
	b := make([]byte, size)
	if _, err := io.ReadFull(r, b); err != nil {
		return 0, eris.Wrap(err, "read a message")
	}
	return size + 4, eris.Wrap(proto.Unmarshal(b, m), "decode a message")
}

func memberToProto(m membership.Member) *peerpb.Member {
	return &peerpb.Member{Name: m.Name, DataCentre: m.DataCentre, Region: m.Region, Address: m.Address, Incarnation: m.Incarnation,
		Heartbeat: m.Heartbeat, Applied: m.Applied, StoreDown: m.StoreDown, Leaving: m.Leaving}
}

func memberFromProto(m *peerpb.Member) membership.Member {
	return membership.Member{Name: m.GetName(), DataCentre: m.GetDataCentre(), Region: m.GetRegion(), Address: m.GetAddress(),
		Incarnation: m.GetIncarnation(), Heartbeat: m.GetHeartbeat(), Applied: m.GetApplied(), StoreDown: m.GetStoreDown(), Leaving: m.GetLeaving()}
}

// encode returns the wire form of a message.
func encode(msg node.Msg) (*peerpb.Message, error) {
	switch m := msg.(type) {
	case node.Digest:
		return &peerpb.Message{Body: &peerpb.Message_Digest{Digest: encodeDigest(m)}}, nil
	case node.Want:
		return &peerpb.Message{Body: &peerpb.Message_Want{Want: &peerpb.Want{Keys: m.Keys, Members: m.Members}}}, nil
	case node.Documents:
		d := &peerpb.Documents{}
		for _, e := range m.Entries {
			value, err := deflate(e.Value)
			if err != nil {
				return nil, err
			}
			d.Entries = append(d.Entries, &peerpb.Entry{Key: e.Key, Index: e.Index, Value: value})
		}
		return &peerpb.Message{Body: &peerpb.Message_Documents{Documents: d}}, nil
	case node.Notice:
		return &peerpb.Message{Body: &peerpb.Message_Notice{Notice: &peerpb.Notice{Topic: m.Topic, Body: m.Body}}}, nil
	case node.Direct:
		return &peerpb.Message{Body: &peerpb.Message_Direct{Direct: &peerpb.Direct{Topic: m.Topic, Body: m.Body}}}, nil
	}
	return nil, eris.Errorf("message of type %T has no wire form", msg)
}

func encodeDigest(m node.Digest) *peerpb.Digest {
	d := &peerpb.Digest{Hash: m.Hash, Applied: m.Applied, Configured: m.Configured, Full: m.Full}
	for _, r := range m.Revisions {
		d.Revisions = append(d.Revisions, &peerpb.KeyRevision{Key: r.Key, Revision: r.Revision})
	}
	for _, u := range m.Members {
		if u.Full != nil {
			d.Members = append(d.Members, memberToProto(*u.Full))
			continue
		}
		d.BeatIds = append(d.BeatIds, u.ID)
		d.BeatCounters = append(d.BeatCounters, u.Heartbeat)
		d.BeatLags = append(d.BeatLags, int64(m.Applied-u.Applied))
	}
	for _, k := range m.Marks {
		state := peerpb.Mark_LEAVING
		if k.State == membership.UpstreamDead {
			state = peerpb.Mark_DEAD
		}
		d.Marks = append(d.Marks, &peerpb.Mark{Address: k.Address, Incarnation: k.Incarnation, State: state})
	}
	return d
}

// decode returns the message of a wire form, or nil for a kind that only newer
// daemons know.
func decode(in *peerpb.Message) (node.Msg, error) {
	switch b := in.GetBody().(type) {
	case *peerpb.Message_Digest:
		return decodeDigest(b.Digest)
	case *peerpb.Message_Want:
		return node.Want{Keys: b.Want.GetKeys(), Members: b.Want.GetMembers()}, nil
	case *peerpb.Message_Documents:
		var d node.Documents
		for _, e := range b.Documents.GetEntries() {
			value, err := inflate(e.GetValue())
			if err != nil {
				return nil, err
			}
			d.Entries = append(d.Entries, store.Entry{Key: e.GetKey(), Index: e.GetIndex(), Value: value})
		}
		return d, nil
	case *peerpb.Message_Notice:
		return node.Notice{Topic: b.Notice.GetTopic(), Body: b.Notice.GetBody()}, nil
	case *peerpb.Message_Direct:
		return node.Direct{Topic: b.Direct.GetTopic(), Body: b.Direct.GetBody()}, nil
	}
	return nil, nil
}

func decodeDigest(d *peerpb.Digest) (node.Msg, error) {
	m := node.Digest{Hash: d.GetHash(), Applied: d.GetApplied(), Configured: d.GetConfigured(), Full: d.GetFull()}
	for _, r := range d.GetRevisions() {
		m.Revisions = append(m.Revisions, node.KeyRevision{Key: r.GetKey(), Revision: r.GetRevision()})
	}
	for _, p := range d.GetMembers() {
		full := memberFromProto(p)
		m.Members = append(m.Members, node.MemberUpdate{Full: &full, ID: full.ID(), Heartbeat: full.Heartbeat, Applied: full.Applied})
	}
	ids, counters, lags := d.GetBeatIds(), d.GetBeatCounters(), d.GetBeatLags()
	if len(ids) != len(counters) || len(ids) != len(lags) {
		return nil, eris.New("the lists of heartbeats in a digest differ in length")
	}
	for i := range ids {
		m.Members = append(m.Members, node.MemberUpdate{ID: ids[i], Heartbeat: counters[i], Applied: m.Applied - uint64(lags[i])})
	}
	for _, k := range d.GetMarks() {
		mark := membership.Mark{Address: k.GetAddress(), Incarnation: k.GetIncarnation()}
		switch k.GetState() {
		case peerpb.Mark_LEAVING:
			mark.State = membership.UpstreamLeaving
		case peerpb.Mark_DEAD:
			mark.State = membership.UpstreamDead
		default:
			continue
		}
		m.Marks = append(m.Marks, mark)
	}
	return m, nil
}

func deflate(b []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "compress a document")
	}
	if _, err := w.Write(b); err != nil {
		return nil, eris.Wrap(err, "compress a document")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "compress a document")
	}
	return out.Bytes(), nil
}

// inflate decompresses a document and bounds the result, because a few bytes can
// expand to any size.
func inflate(b []byte) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), store.MaxValueBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "decompress a document")
	}
	if len(out) > store.MaxValueBytes {
		return nil, eris.Errorf("a document is above the limit of %d bytes", store.MaxValueBytes)
	}
	return out, nil
}

// EncodedSize returns the number of bytes that a message takes on a link, with its
// length prefix and the header of its yamux frame.
func EncodedSize(msg node.Msg) int {
	m, err := encode(msg)
	if err != nil {
		return 0
	}
	return proto.Size(m) + 4 + yamuxHeaderBytes
}

const yamuxHeaderBytes = 12
