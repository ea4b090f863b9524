package peer

import (
	"net"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/wire"
	"github.com/rhubarbring/rhubarbring/request"
)

// echoHandler answers each request with its payload, and reports the payload
// size of each received answer.
type echoHandler struct{ answers chan int }

func (e *echoHandler) HandleFrame(from *Conn, kind wire.Kind, payload []byte) {
	if kind == wire.KindAnswer {
		e.answers <- len(payload)
		return
	}
	if frame, err := wire.Encode(wire.KindAnswer, &request.Answer{Body: payload}); err == nil {
		_ = from.Send(frame)
	}
}

func (e *echoHandler) SendFailed(Tag)              {}
func (e *echoHandler) ConnectionLost(*Conn, error) {}

func startPeer(t testing.TB, name host.ID) (string, *Transport, *echoHandler) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	address := listener.Addr().String()
	must.NoError(t, listener.Close())
	e := &echoHandler{answers: make(chan int, 1024)}
	transport, err := Listen(address, wire.Hello{Session: host.Session{Host: name, Incarnation: 1}}, e, DialTCP, metrics.NewRegistry())
	must.NoError(t, err)
	t.Cleanup(transport.Close)
	return address, transport, e
}

func TestFramesArriveInOrderOnConnection(t *testing.T) {
	_, from, e := startPeer(t, "first")
	to, _, _ := startPeer(t, "second")
	const frames = 3 * maxFramesPerWrite
	send := func(size int) {
		_, err := from.Send(to, encodeFrame(t, wire.KindRequest, &request.Request{Body: make([]byte, size)}), 0)
		must.NoError(t, err)
	}
	send(0) // Opens the connection.
	last := <-e.answers
	for i := range frames {
		send(i + 1)
	}
	for range frames {
		size := <-e.answers
		must.Greater(t, last, size)
		last = size
	}
}

func BenchmarkRoundTrip(b *testing.B) {
	_, from, e := startPeer(b, "first")
	to, _, _ := startPeer(b, "second")
	frame, err := wire.Encode(wire.KindRequest, &request.Request{Body: make([]byte, 256)})
	must.NoError(b, err)
	for _, flight := range []struct {
		name string
		n    int
	}{{"1", 1}, {"64", 64}} {
		b.Run("flight/"+flight.name, func(b *testing.B) {
			b.ReportAllocs()
			for range flight.n {
				_, _ = from.Send(to, frame, 0)
			}
			for b.Loop() {
				<-e.answers
				_, _ = from.Send(to, frame, 0)
			}
			for range flight.n {
				<-e.answers
			}
		})
	}
}
