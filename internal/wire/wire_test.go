package wire_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/internal/wire"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

func sampleRequest() *request.Request {
	return &request.Request{
		ID: "0198a2b4-7c1d-7e3f-8a5b-6c7d8e9f0a1b", App: "catalogue", Key: "item-1", Slice: 7, Epoch: 3, Attempt: 1, Seq: 99, Repeat: request.RepeatFirst,
		Budget: 250e6, IDTimeMs: 1754035200000, AcceptedMs: 1754035200001, Method: "POST", Path: "/items?page=2", ContentType: "application/json", Body: make([]byte, 1024),
	}
}

func sampleAnswer() *request.Answer {
	return &request.Answer{
		ID: "0198a2b4-7c1d-7e3f-8a5b-6c7d8e9f0a1b", Attempt: 1, Seq: 99, Owner: "host-1", Epoch: 3, OwnerEpoch: 3, Status: 200, ContentType: "application/json", Body: make([]byte, 1024),
	}
}

func TestEncodedMessageDecodesUnchanged(t *testing.T) {
	roundTrip(t, wire.KindRequest, sampleRequest())
	roundTrip(t, wire.KindAnswer, sampleAnswer())
}

func roundTrip[T any](t *testing.T, kind wire.Kind, message *T) {
	t.Helper()
	frame, err := wire.Encode(kind, message)
	must.NoError(t, err)
	got, size, err := wire.ParseHeader(frame)
	must.NoError(t, err)
	must.Eq(t, kind, got)
	must.Eq(t, kind, wire.KindOf(frame))
	must.Eq(t, len(frame)-wire.HeaderBytes, size)
	back, err := wire.Decode[T](frame[wire.HeaderBytes:])
	must.NoError(t, err)
	must.Eq(t, *message, back)
}

// The payload's memory belongs to the receive buffer and is overwritten after
// decoding; a message that refers to it would change.
func TestDecodedMessageDoesNotAliasPayload(t *testing.T) {
	frame, err := wire.Encode(wire.KindRequest, sampleRequest())
	must.NoError(t, err)
	back, err := wire.Decode[request.Request](frame[wire.HeaderBytes:])
	must.NoError(t, err)
	clear(frame)
	must.Eq(t, *sampleRequest(), back)
}

func TestOversizedMessageAndFrameRefused(t *testing.T) {
	r := sampleRequest()
	r.Body = make([]byte, wire.MaxPayloadBytes)
	_, err := wire.Encode(wire.KindRequest, r)
	must.ErrorContains(t, err, result.TooLarge.String())
	_, _, err = wire.ParseHeader([]byte{0xff, 0xff, 0xff, 0xff, byte(wire.KindRequest)})
	must.ErrorContains(t, err, result.BadFrame.String())
}

func FuzzDecode(f *testing.F) {
	frame, err := wire.Encode(wire.KindRequest, sampleRequest())
	must.NoError(f, err)
	f.Add(frame[wire.HeaderBytes:])
	f.Add([]byte{0x9f, 0xff})
	f.Fuzz(func(t *testing.T, payload []byte) {
		message, err := wire.Decode[request.Request](payload)
		if err != nil {
			return
		}
		_, err = wire.Encode(wire.KindRequest, &message)
		must.NoError(t, err)
	})
}

func BenchmarkRequest(b *testing.B) { benchmark(b, wire.KindRequest, sampleRequest()) }
func BenchmarkAnswer(b *testing.B)  { benchmark(b, wire.KindAnswer, sampleAnswer()) }

func benchmark[T any](b *testing.B, kind wire.Kind, message *T) {
	frame, err := wire.Encode(kind, message)
	must.NoError(b, err)
	b.Run("encode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = wire.Encode(kind, message)
		}
	})
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = wire.Decode[T](frame[wire.HeaderBytes:])
		}
	})
}
