package peer

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/wire"
)

// frameRecorder is a handler that records the kinds of received frames.
type frameRecorder struct {
	mu     sync.Mutex
	kinds  []wire.Kind
	gotTwo chan struct{} // closed when two frames have arrived
}

func (r *frameRecorder) HandleFrame(_ *Conn, kind wire.Kind, _ []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kinds = append(r.kinds, kind)
	if len(r.kinds) == 2 {
		close(r.gotTwo)
	}
}

func (r *frameRecorder) SendFailed(Tag)              {}
func (r *frameRecorder) ConnectionLost(*Conn, error) {}

func freeAddress(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { must.NoError(t, ln.Close()) }()
	return ln.Addr().String()
}

func startTransport(t *testing.T, name string, address string, h Handler, dial DialFunc) *Transport {
	hello := wire.Hello{Session: host.Session{Host: host.ID(name), Incarnation: 1}}
	tr, err := Listen(address, hello, h, dial, metrics.NewRegistry())
	must.NoError(t, err)
	t.Cleanup(tr.Close)
	return tr
}

// A caller may hang up while the connection to the gate is still being opened;
// the cancel must be sent after its request. A Conn that wrote before it is
// open would fail here with a nil pointer dereference.
func TestSendOnOpeningConnectionKeepsOrder(t *testing.T) {
	open := make(chan struct{})
	delayedDial := func(address string, timeout time.Duration) (net.Conn, error) {
		<-open
		return DialTCP(address, timeout)
	}
	to := freeAddress(t)
	got := &frameRecorder{gotTwo: make(chan struct{})}
	startTransport(t, "b", to, got, DialTCP)
	a := startTransport(t, "a", freeAddress(t), &frameRecorder{gotTwo: make(chan struct{})}, delayedDial)

	request, err := wire.Encode(wire.KindRequest, "request")
	must.NoError(t, err)
	cancel, err := wire.Encode(wire.KindCancel, "cancel")
	must.NoError(t, err)
	conn, err := a.Send(to, request, 7)
	must.NoError(t, err)
	must.NoError(t, conn.Send(cancel))
	close(open)
	<-got.gotTwo
	must.Eq(t, []wire.Kind{wire.KindRequest, wire.KindCancel}, got.kinds)
}
