// Package wire encodes the messages between daemons. A frame is the payload's
// length (four bytes, big endian), the message kind (one byte) and the payload
// in CBOR. A large frame may travel compressed, in frames of KindPart, to a receiver that
// has said that it reads them. Messages are Go structs encoded as arrays, so that fields are
// identified by their position. The decoder refuses an array whose length
// differs from the number of fields that it knows: daemons must agree on the
// fields of every message that they exchange.
package wire

import (
	"bytes"
	"encoding/binary"
	"strconv"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/result"
)

// Kind identifies the message in a frame.
type Kind uint8

// The kinds of messages. Their values are sent on the wire, so new kinds are
// added only at the end.
const (
	KindHello            Kind = iota + 1 // identifies the sender; first on a connection
	KindRequest                          // a caller's request, to a gate
	KindAnswer                           // a gate's answer to a request
	KindCancel                           // asks a gate to give up a request
	KindAck                              // tells a gate which answers have reached their callers
	KindRenew                            // asks a witness to renew a session's lease
	KindRenewResponse                    // a witness's answer to KindRenew
	KindSealRequests                     // asks a witness to seal sessions
	KindSealResponse                     // a witness's answer to KindSealRequests
	KindRelease                          // tells the leader that a slice is released
	KindLoadReport                       // reports a target's load to the leader
	KindDigest                           // a digest: the sender's versions of the store's objects
	KindObjects                          // changes of objects
	KindChangesRequest                   // asks for objects that changed after a revision
	KindReleaseToken                     // passes a target's release token to the next owner
	KindLeaderUnwritable                 // tells other daemons that the leader cannot write to the store
	KindTargetStatus                     // passes on what a target says of itself
	KindClaim                            // tells the leader which slices with restored entries the sender holds
	KindAlarmReport                      // reports alarms to the daemon that writes their records
	KindAlarmAnswer                      // the answer to KindAlarmReport
	KindFeatures                         // what the sender reads beyond what all builds do; follows its hello
	KindPart                             // a part of a compressed frame
	KindLongRequest                      // a request whose body the gate's daemon reads at the sender
)

// Sizes in bytes.
const (
	HeaderBytes = 5
	// MaxPayloadBytes bounds an encoded message. It has room for the document of
	// the largest configuration that the platform's store takes, which grows
	// from 1 MiB to 6 MiB when it is translated.
	MaxPayloadBytes = 8 << 20
	lengthBytes     = 4
	// maxPooledBytes is the largest capacity of a buffer that returns to the
	// pool, so that one large message does not pin its memory.
	maxPooledBytes = 64 << 10
	// maxFieldsBytes is the room for what a bulky message has besides its bulk,
	// without another allocation.
	maxFieldsBytes = 4 << 10
)

const (
	maxArrayElements = 1 << 18
	maxNestedLevels  = 16
)

// Hello is the first message on a connection in each direction: it identifies
// the daemon that sends it.
type Hello struct {
	_       struct{} `cbor:",toarray"`
	Session host.Session
	Zone    host.Zone
	Region  host.Region
}

// Features tells what the sender of a Hello reads besides the messages that all builds
// read. A receiver ignores the bits that it does not know.
type Features struct {
	_    struct{} `cbor:",toarray"`
	Bits uint64
}

// The bits of Features.
const (
	FeatureParts        = 1 << 0 // Part
	FeatureLongRequests = 1 << 1 // KindLongRequest
)

// Part is a part of a frame that was compressed with DEFLATE. The parts of a frame
// follow each other on their connection; frames of other kinds may come between them.
type Part struct {
	_           struct{} `cbor:",toarray"`
	First, Last bool
	Data        []byte
}

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

func mustEncoder() cbor.UserBufferEncMode {
	mode, err := cbor.EncOptions{}.UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxArrayElements, MaxNestedLevels: maxNestedLevels}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// bufferPool reuses encoding buffers, so that a frame takes one allocation of
// its exact size.
var bufferPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}

func putBuffer(buf *bytes.Buffer) {
	if buf.Cap() > maxPooledBytes {
		return
	}
	buf.Reset()
	bufferPool.Put(buf)
}

// Bulky is a message that may be large.
type Bulky interface {
	// BulkBytes returns how many bytes of the message are encoded as they are. The
	// encoded message is longer.
	BulkBytes() int
}

// Encode returns a complete frame. It returns TooLarge if the encoded message
// exceeds MaxPayloadBytes, and BadFrame if the message can't be encoded. A Bulky
// message that is too large is not encoded, and a large one is copied once.
func Encode(kind Kind, message any) ([]byte, error) {
	if m, ok := message.(Bulky); ok && m.BulkBytes() > maxPooledBytes {
		return encodeBulky(kind, m)
	}
	buf := bufferPool.Get().(*bytes.Buffer)
	defer putBuffer(buf)
	if err := encoder.MarshalToBuffer(message, buf); err != nil {
		return nil, &result.Error{Code: result.BadFrame, Detail: "the message does not encode", Cause: err}
	}
	if err := checkSize(buf.Len()); err != nil {
		return nil, err
	}
	frame := make([]byte, HeaderBytes+buf.Len())
	copy(frame[HeaderBytes:], buf.Bytes())
	putHeader(frame, kind)
	return frame, nil
}

// encodeBulky is Encode for a large message, which it encodes into the frame itself.
func encodeBulky(kind Kind, message Bulky) ([]byte, error) {
	bulk := message.BulkBytes()
	if err := checkSize(bulk); err != nil {
		return nil, err
	}
	buf := bytes.NewBuffer(make([]byte, HeaderBytes, HeaderBytes+bulk+maxFieldsBytes))
	if err := encoder.MarshalToBuffer(message, buf); err != nil {
		return nil, &result.Error{Code: result.BadFrame, Detail: "the message does not encode", Cause: err}
	}
	if err := checkSize(buf.Len() - HeaderBytes); err != nil {
		return nil, err
	}
	putHeader(buf.Bytes(), kind)
	return buf.Bytes(), nil
}

// checkSize returns TooLarge if a payload exceeds MaxPayloadBytes.
func checkSize(payload int) error {
	if payload > MaxPayloadBytes {
		return &result.Error{Code: result.TooLarge, Detail: "a message of " + strconv.Itoa(payload) + " bytes"}
	}
	return nil
}

// putHeader writes the header of a frame into its first bytes.
func putHeader(frame []byte, kind Kind) {
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-HeaderBytes))
	frame[lengthBytes] = byte(kind)
}

// ParseHeader returns a frame's kind and the length of its payload in bytes. It
// returns BadFrame if that length exceeds MaxPayloadBytes. The header must have
// at least HeaderBytes bytes.
func ParseHeader(header []byte) (Kind, int, error) {
	size := binary.BigEndian.Uint32(header)
	if size > MaxPayloadBytes {
		return 0, 0, &result.Error{Code: result.BadFrame, Detail: "a frame of " + strconv.FormatUint(uint64(size), 10) + " bytes"}
	}
	return Kind(header[lengthBytes]), int(size), nil
}

// KindOf returns the kind of a complete frame.
func KindOf(frame []byte) Kind {
	return Kind(frame[lengthBytes])
}

// Decode decodes a payload into a message of type T. The message holds no
// reference to the payload, whose memory may be reused. It returns BadFrame if
// the payload does not decode.
func Decode[T any](payload []byte) (T, error) {
	var message T
	if err := decoder.Unmarshal(payload, &message); err != nil {
		return message, &result.Error{Code: result.BadFrame, Detail: "the payload does not decode", Cause: err}
	}
	return message, nil
}
