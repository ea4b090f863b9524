package peer

import (
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/balance"
	"github.com/rhubarbring/rhubarbring/internal/wire"
	"github.com/rhubarbring/rhubarbring/request"
)

func TestBytesToAnotherRegionCountedByPurpose(t *testing.T) {
	req := encodeFrame(t, wire.KindRequest, &request.Request{ID: "a"})
	answer := encodeFrame(t, wire.KindAnswer, &request.Answer{ID: "a"})
	ack := encodeFrame(t, wire.KindAck, request.Ack{Seqs: []uint64{1}})
	registry := metrics.NewRegistry()
	c := newRegionTraffic("north", registry)
	far, near := &Conn{}, &Conn{}
	near.hello.Store(&wire.Hello{Region: "north"})
	for _, conn := range []*Conn{far, near} {
		c.count(conn, req)
		c.count(conn, answer)
	}
	must.Eq(t, 0, c.bytes[balance.Requests].Count()) // The peer's hello has not arrived.
	far.hello.Store(&wire.Hello{Region: "south"})
	c.flushAll(far)
	c.count(far, ack)
	must.Eq(t, int64(len(req)), c.bytes[balance.Requests].Count())
	must.Eq(t, int64(len(answer)), c.bytes[balance.Answers].Count())
	must.Eq(t, int64(len(ack)), c.bytes[balance.Control].Count())
	must.NotNil(t, registry.Get("link.control.bytes"))
}

func encodeFrame(t *testing.T, kind wire.Kind, message any) []byte {
	t.Helper()
	frame, err := wire.Encode(kind, message)
	must.NoError(t, err)
	return frame
}
