// Package wire frames the messages between daemons: four bytes of length, one
// byte of kind, then the message in CBOR. Messages are Go structs encoded as
// arrays, so that a field added at the end stays readable to older daemons.
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

// Kind says which message a frame holds.
type Kind uint8

// The kinds of messages.
const (
	KindHello Kind = iota + 1
	KindRequest
	KindAnswer
	KindCancel
	KindAck
	KindRenew
	KindRenewed
	KindAsks
	KindSeals
	KindReleased
	KindLoad
	KindHave
	KindObjects
	KindAsk
	KindToken
	KindStuck
)

// Sizes of a frame in bytes.
const (
	HeaderBytes = 5
	// MaxPayloadBytes bounds a message: the store's largest object and room
	// for what goes around it.
	MaxPayloadBytes = 4 << 20
	lengthBytes     = 4
	// maxPooledBytes bounds the memory of a buffer that is kept for later.
	maxPooledBytes = 64 << 10
)

const (
	maxArrayElements = 1 << 18
	maxNestedLevels  = 16
)

// Hello is the first message on a connection: who opened it.
type Hello struct {
	_       struct{} `cbor:",toarray"`
	Session host.Session
	Zone    host.Zone
	Region  host.Region
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

// bufferPool are used again, so that a frame takes one allocation of its size.
var bufferPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}

func putBuffer(buf *bytes.Buffer) {
	if buf.Cap() > maxPooledBytes {
		return
	}
	buf.Reset()
	bufferPool.Put(buf)
}

// Encode returns a whole frame. It fails if the message exceeds
// MaxPayloadBytes.
func Encode(kind Kind, message any) ([]byte, error) {
	buf := bufferPool.Get().(*bytes.Buffer)
	defer putBuffer(buf)
	if err := encoder.MarshalToBuffer(message, buf); err != nil {
		return nil, &result.Error{Code: result.BadFrame, Detail: "the message does not encode", Cause: err}
	}
	size := buf.Len()
	if size > MaxPayloadBytes {
		return nil, &result.Error{Code: result.TooLarge, Detail: "a message of " + strconv.Itoa(size) + " bytes"}
	}
	frame := make([]byte, HeaderBytes+size)
	copy(frame[HeaderBytes:], buf.Bytes())
	binary.BigEndian.PutUint32(frame, uint32(size))
	frame[lengthBytes] = byte(kind)
	return frame, nil
}

// ParseHeader reads a frame's header: its kind and the length of its payload.
func ParseHeader(header []byte) (Kind, int, error) {
	size := binary.BigEndian.Uint32(header)
	if size > MaxPayloadBytes {
		return 0, 0, &result.Error{Code: result.BadFrame, Detail: "a frame of " + strconv.FormatUint(uint64(size), 10) + " bytes"}
	}
	return Kind(header[lengthBytes]), int(size), nil
}

// KindOf returns the kind of a whole frame.
func KindOf(frame []byte) Kind {
	return Kind(frame[lengthBytes])
}

// Decode reads a payload into a message of type T. The message keeps no
// reference to the payload.
func Decode[T any](payload []byte) (T, error) {
	var message T
	if err := decoder.Unmarshal(payload, &message); err != nil {
		return message, &result.Error{Code: result.BadFrame, Detail: "the payload does not decode", Cause: err}
	}
	return message, nil
}
