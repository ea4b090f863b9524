package peer

import (
	"bytes"
	"io"

	"github.com/klauspost/compress/flate"

	"github.com/rhubarbring/rhubarbring/internal/wire"
	"github.com/rhubarbring/rhubarbring/result"
)

// partBytes is the size of the parts of a compressed frame. A message that comes while
// one is written waits for it: 13 ms on a link of 10 Mbit/s.
const partBytes = 16 << 10

// packFrame compresses a frame and returns the frames of its parts.
func packFrame(frame []byte) [][]byte {
	var packed bytes.Buffer
	_ = flate.StatelessDeflate(&packed, frame, true, nil) // Fails only if the buffer does.
	var parts [][]byte
	for rest := packed.Bytes(); len(rest) > 0; {
		data := rest[:min(len(rest), partBytes)]
		rest = rest[len(data):]
		part, _ := wire.Encode(wire.KindPart, &wire.Part{First: len(parts) == 0, Last: len(rest) == 0, Data: data}) // Always encodes.
		parts = append(parts, part)
	}
	return parts
}

// unpackFrame returns the kind and the payload of a compressed frame. It returns
// BadFrame if the frame is malformed, or of a kind that is not sent in parts.
func unpackFrame(packed []byte) (wire.Kind, []byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	defer func() { _ = r.Close() }()
	header := make([]byte, wire.HeaderBytes)
	if _, err := io.ReadFull(r, header); err != nil {
		return 0, nil, badParts(err)
	}
	kind, size, err := wire.ParseHeader(header)
	if err != nil {
		return 0, nil, err
	}
	if kind != wire.KindObjects {
		return 0, nil, badParts(nil)
	}
	payload := make([]byte, size)
	if _, err := io.ReadFull(r, payload); err != nil {
		return 0, nil, badParts(err)
	}
	return kind, payload, nil
}

func badParts(cause error) error {
	return &result.Error{Code: result.BadFrame, Detail: "the parts of a frame do not make one", Cause: cause}
}

// partBuffer collects the parts of the frame that arrives. It is accessed only on the
// connection's event loop.
type partBuffer struct{ data []byte }

// add adds a part and returns the compressed frame once it is complete. A part whose
// first one was not received is dropped.
func (b *partBuffer) add(p *wire.Part) ([]byte, error) {
	if p.First {
		b.data = nil
	} else if len(b.data) == 0 {
		return nil, nil
	}
	if len(b.data)+len(p.Data) > wire.MaxPayloadBytes {
		return nil, badParts(nil)
	}
	b.data = append(b.data, p.Data...)
	if !p.Last {
		return nil, nil
	}
	packed := b.data
	b.data = nil
	return packed, nil
}

// handlePart handles a part of a frame, and the frame if it is complete. It returns
// false if the connection must close.
func (c *Conn) handlePart(payload []byte) bool {
	part, err := wire.Decode[wire.Part](payload)
	if err != nil {
		return false
	}
	before := len(c.parts.data)
	packed, err := c.parts.add(&part)
	c.transport.held.bytes.Add(int64(len(c.parts.data) - before))
	if err != nil {
		return false
	}
	if packed == nil {
		return true
	}
	kind, inner, err := unpackFrame(packed)
	if err != nil {
		return false
	}
	c.transport.handler.HandleFrame(c, kind, inner)
	return true
}
