package control

import (
	"bytes"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"github.com/rhubarbring/rhubarbring/internal/controlrpc"
	"github.com/rhubarbring/rhubarbring/internal/longbody"
	"github.com/rhubarbring/rhubarbring/request"
)

// bodyDaemon has the bodies of a registry.
type bodyDaemon struct {
	Daemon
	registry *longbody.Registry
}

func (d bodyDaemon) TakeBody(token string) *longbody.Body { return d.registry.Take(token) }

// startBodies returns a registry, and the address at which its bodies are served.
func startBodies(t *testing.T) (*longbody.Registry, string) {
	registry := longbody.NewRegistry()
	s := New(bodyDaemon{registry: registry}, controlrpc.NewControlServer(nil), metrics.NewRegistry())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go s.serve(listener)
	t.Cleanup(s.Stop)
	return registry, listener.Addr().String()
}

// A long body arrives at the gate's daemon as it was sent, once, and one that breaks off
// is not taken for a whole one.
func TestLongBodyArrivesWholeOrFails(t *testing.T) {
	const length = 300_000
	sent := bytes.Repeat([]byte("0123456789"), length/10)
	for _, known := range []bool{true, false} {
		for _, arrives := range []int{length, length - 1, 0} {
			registry, address := startBodies(t)
			r := io.MultiReader(bytes.NewReader(sent[:arrives]), failing{})
			ref := request.LongBody{Address: address, Length: -1}
			if known {
				r, ref.Length = longbody.Exact(r, length), length
			} else if arrives == length {
				r = bytes.NewReader(sent)
			}
			var body *longbody.Body
			ref.Token, body = registry.Add(r, ref.Length)
			raw, err := readBody(t, ref)
			must.Eq(t, arrives == length, err == nil, must.Sprintf("length known %v, %d bytes arrive: %v", known, arrives, err))
			must.True(t, arrives < length || bytes.Equal(sent, raw))
			<-body.Ended()
			_, err = longbody.Open(t.Context(), ref)
			must.ErrorIs(t, err, longbody.ErrGone)
		}
	}
}

// readBody reads a body from the daemon that has it.
func readBody(t *testing.T, ref request.LongBody) ([]byte, error) {
	body, err := longbody.Open(t.Context(), ref)
	if err != nil {
		return nil, err
	}
	defer func() { must.NoError(t, body.Close()) }()
	return io.ReadAll(body)
}

// failing is a caller that breaks off.
type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// A gate's daemon that gives up must not leave the caller's connection waiting.
func TestReaderThatGivesUpEndsBody(t *testing.T) {
	registry, address := startBodies(t)
	endless := io.MultiReader(strings.NewReader("begin"), &zeros{})
	token, body := registry.Add(endless, -1)
	got, err := longbody.Open(t.Context(), request.LongBody{Address: address, Token: token, Length: -1})
	must.NoError(t, err)
	must.NoError(t, got.Close())
	<-body.Ended()
}

// zeros is a body without end.
type zeros struct{}

func (*zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// Only reading a body takes it.
func TestOtherMethodsTakeNoBody(t *testing.T) {
	registry, address := startBodies(t)
	token, _ := registry.Add(strings.NewReader("x"), 1)
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("http://" + address + longbody.Path + token)
	req.Header.SetMethod(fasthttp.MethodPost)
	must.NoError(t, fasthttp.Do(req, resp))
	must.Eq(t, fasthttp.StatusNotFound, resp.StatusCode())
	must.NotNil(t, registry.Take(token))
}
