package peer

import (
	"bufio"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/wire"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/spread"
)

// objectsFrame returns a frame of replicated objects of a size that hardly compresses.
func objectsFrame(t *testing.T, size int) []byte {
	value := make([]byte, size)
	r := rand.New(rand.NewPCG(1, uint64(size)))
	for i := range value {
		value[i] = byte(r.Uint32())
	}
	return encodeFrame(t, wire.KindObjects, &spread.Objects{UpTo: 1, Items: []spread.Object{{Name: "o", Version: 1, Value: value}}})
}

// rawPeer is a peer of which the test reads the bytes itself.
type rawPeer struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func (p *rawPeer) read() (wire.Kind, []byte) {
	header := make([]byte, wire.HeaderBytes)
	_, err := io.ReadFull(p.reader, header)
	must.NoError(p.t, err)
	kind, size, err := wire.ParseHeader(header)
	must.NoError(p.t, err)
	payload := make([]byte, size)
	_, err = io.ReadFull(p.reader, payload)
	must.NoError(p.t, err)
	return kind, payload
}

func (p *rawPeer) write(frame []byte) {
	_, err := p.conn.Write(frame)
	must.NoError(p.t, err)
}

// dialedRawPeer returns a peer to which a transport has opened a connection and sent
// its hello, and the address.
func dialedRawPeer(t *testing.T, from *Transport) (*rawPeer, string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	address := ln.Addr().String()
	from.TryConnect(address)
	conn, err := ln.Accept()
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	p := &rawPeer{t: t, conn: conn, reader: bufio.NewReader(conn)}
	kind, _ := p.read()
	must.Eq(t, wire.KindHello, kind)
	kind, _ = p.read()
	must.Eq(t, wire.KindFeatures, kind)
	return p, address
}

// sayFeatures has the peer say what it reads, and returns once the transport knows.
func (p *rawPeer) sayFeatures(from *Transport, address string) {
	p.write(encodeFrame(p.t, wire.KindHello, wire.Hello{Session: host.Session{Host: "raw", Incarnation: 1}}))
	p.write(encodeFrame(p.t, wire.KindFeatures, wire.Features{Bits: wire.FeatureParts}))
	// The answer to a request shows that what was sent before it has arrived.
	p.write(encodeFrame(p.t, wire.KindRequest, &request.Request{Body: []byte("x")}))
	kind, _ := p.read()
	must.Eq(p.t, wire.KindAnswer, kind)
	must.True(p.t, from.linkTo(address).readsParts())
}

// bytesBeforeRequest sends documents and then a request, and returns how many bytes the
// peer gets before the request.
func bytesBeforeRequest(t *testing.T, readsParts bool) int {
	from := startTransport(t, "a", freeAddress(t), &echoHandler{}, DialTCP)
	from.LimitBulk(1000)
	p, address := dialedRawPeer(t, from)
	if readsParts {
		p.sayFeatures(from, address)
	}
	must.NoError(t, from.SendBulk(address, objectsFrame(t, 400_000)))
	for range 3 {
		_ = from.SendBulk(address, objectsFrame(t, 400_000)) // May be refused: the first one takes long.
	}
	_, err := from.Send(address, encodeFrame(t, wire.KindRequest, &request.Request{ID: "a"}), 0)
	must.NoError(t, err)
	before := 0
	for kind, payload := p.read(); kind != wire.KindRequest; kind, payload = p.read() {
		before += wire.HeaderBytes + len(payload)
	}
	return before
}

// A request waited behind whole documents: on a link of 10 Mbit/s, 64 KB take 50 ms.
func TestRequestDoesNotWaitBehindDocuments(t *testing.T) {
	must.LessEq(t, 64_000, bytesBeforeRequest(t, true))
}

// A peer of an earlier build gets whole frames, one at a time.
func TestEarlierBuildGetsWholeFrames(t *testing.T) {
	must.LessEq(t, 401_000, bytesBeforeRequest(t, false))
}

// objectsRecorder reports the values of the objects that arrive.
type objectsRecorder struct {
	frameRecorder
	values chan []byte
}

func (r *objectsRecorder) HandleFrame(_ *Conn, kind wire.Kind, payload []byte) {
	if m, err := wire.Decode[spread.Objects](payload); err == nil && kind == wire.KindObjects {
		r.values <- m.Items[0].Value
	}
}

// Frames that were sent in parts must arrive as they were, in their order, over the
// connections of both directions, and nothing must stay counted as held.
func TestLargeFramesArriveAsTheyWere(t *testing.T) {
	got := &objectsRecorder{values: make(chan []byte, 16)}
	to := freeAddress(t)
	receiver := startTransport(t, "b", to, got, DialTCP)
	from := startTransport(t, "a", freeAddress(t), &echoHandler{}, DialTCP)
	sizes := []int{10, minBulkBytes, partBytes, 10 * partBytes, 10 * partBytes, 7 << 20, 100, 1 << 20}
	for _, size := range sizes {
		frame := objectsFrame(t, size)
		must.NoError(t, from.SendBulk(to, frame))
		sent, err := wire.Decode[spread.Objects](frame[wire.HeaderBytes:])
		must.NoError(t, err)
		must.Eq(t, sent.Items[0].Value, <-got.values)
	}
	waitUntil(t, func() bool { return from.HeldBytes() == 0 && receiver.HeldBytes() == 0 })
}

// A peer that sends parts that make no frame is cut off, and what it sent is not held.
func TestPartsThatMakeNoFrameCloseConnection(t *testing.T) {
	first := func(data []byte, last bool) []byte {
		return encodeFrame(t, wire.KindPart, &wire.Part{First: true, Last: last, Data: data})
	}
	request := encodeFrame(t, wire.KindRequest, &request.Request{})
	for _, bad := range [][][]byte{
		{first([]byte("not compressed"), true)},
		packFrame(request),            // Not a kind that is sent in parts.
		packFrame([]byte{0, 0, 0, 9}), // Shorter than a header.
		packFrame(objectsFrame(t, 100)[:90]),
		{first(make([]byte, 5<<20), false), encodeFrame(t, wire.KindPart, &wire.Part{Data: make([]byte, 5<<20)})},
	} {
		to := freeAddress(t)
		receiver := startTransport(t, "b", to, &echoHandler{}, DialTCP)
		conn, err := net.Dial("tcp", to)
		must.NoError(t, err)
		for _, part := range bad {
			_, _ = conn.Write(part)
		}
		_, err = io.Copy(io.Discard, conn)
		must.False(t, isTimeout(err))
		must.NoError(t, conn.Close())
		waitUntil(t, func() bool { return receiver.HeldBytes() == 0 })
	}
}

// A part without the first one of its frame comes after a connection was lost: it is
// dropped, and the next frame is read.
func TestPartWithoutFirstIsDropped(t *testing.T) {
	var b partBuffer
	packed, err := b.add(&wire.Part{Last: true, Data: []byte("tail")})
	must.NoError(t, err)
	must.Nil(t, packed)
	packed, err = b.add(&wire.Part{First: true, Last: true, Data: []byte("whole")})
	must.NoError(t, err)
	must.Eq(t, "whole", string(packed))
}

// Frames beyond the bound are refused, so that a peer that is slow costs no memory.
func TestWaitingFramesAreBounded(t *testing.T) {
	from := startTransport(t, "a", freeAddress(t), &echoHandler{}, DialTCP)
	from.LimitBulk(1)
	_, address := dialedRawPeer(t, from)
	frame := objectsFrame(t, 4<<20)
	refused := 0
	for range 8 {
		if from.SendBulk(address, frame) != nil {
			refused++
		}
	}
	must.Positive(t, refused)
	must.LessEq(t, maxBulkBytes+len(frame), from.HeldBytes())
}

// A daemon with a small link took every request for a document, and served the last one
// after seconds, when another daemon could have.
func TestFrameThatWouldWaitTooLongIsRefused(t *testing.T) {
	from := startTransport(t, "a", freeAddress(t), &echoHandler{}, DialTCP)
	const rate = 100_000
	from.LimitBulk(rate)
	_, address := dialedRawPeer(t, from)
	const size = 60_000
	accepted := 0
	for range 10 {
		if from.SendBulk(address, objectsFrame(t, size)) == nil {
			accepted++
		}
	}
	// One is being sent, and a second's worth waits, of which the last may begin late.
	must.LessEq(t, 2+rate/size, accepted)
	must.Eq(t, 10-accepted, int(from.bulkRefused.Count()))
}

// The same document often goes to many: it is compressed once.
func TestSameFrameIsCompressedOnce(t *testing.T) {
	var b bulkQueue
	first := b.pack(objectsFrame(t, 100_000))
	again := b.pack(objectsFrame(t, 100_000))
	must.True(t, &first[0] == &again[0])
	other := b.pack(objectsFrame(t, 100_001))
	must.False(t, &first[0] == &other[0])
}

// A daemon of an earlier build would pass over a message of a kind that it does not know.
func TestPeerOfEarlierBuildLacksLongRequests(t *testing.T) {
	from := startTransport(t, "a", freeAddress(t), &echoHandler{}, DialTCP)
	p, address := dialedRawPeer(t, from)
	must.False(t, from.LacksLongRequests(address)) // Not known yet.
	p.write(encodeFrame(t, wire.KindHello, wire.Hello{Session: host.Session{Host: "raw", Incarnation: 1}}))
	waitUntil(t, func() bool { return from.LacksLongRequests(address) })
	p.write(encodeFrame(t, wire.KindFeatures, wire.Features{Bits: wire.FeatureLongRequests}))
	waitUntil(t, func() bool { return !from.LacksLongRequests(address) })
}

func BenchmarkPackDocument(b *testing.B) {
	frame := []byte(nil)
	for i := range 2000 {
		frame = append(frame, []byte(`{"name":"r-`+time.Duration(i*i).String()+`","host":"shop.example","path_prefix":"/a/","timeout":"2.5s"},`)...)
	}
	b.SetBytes(int64(len(frame)))
	for b.Loop() {
		packFrame(frame)
	}
}

func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(10*time.Second), wait.Gap(time.Millisecond)))
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
