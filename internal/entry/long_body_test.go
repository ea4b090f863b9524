package entry

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"github.com/rhubarbring/rhubarbring/internal/longbody"
	"github.com/rhubarbring/rhubarbring/request"
)

const (
	testInlineBytes = 100
	testLongBytes   = 100_000
)

// longBodyAPI is API with long bodies.
type longBodyAPI struct{ *API }

func (longBodyAPI) Options() Options {
	o := NewAPI(1).Options()
	o.MaxBodyBytes, o.MaxLongBodyBytes = testInlineBytes, testLongBytes
	return o
}

func startLongBodyServer(t *testing.T) (*bodyServer, *longbody.Registry) {
	router := &manualRouter{submitted: make(chan Submission, 64), gone: make(chan request.CallID, 64)}
	s := New(router, longBodyAPI{NewAPI(1)}, Bounds{MemoryBytes: 1 << 20})
	registry := longbody.NewRegistry()
	s.CarryLongBodies(registry)
	must.NoError(t, s.Start("127.0.0.1:0"))
	end := sync.OnceFunc(s.Close)
	t.Cleanup(end)
	return &bodyServer{Server: s, t: t, submitted: router.submitted, end: end}, registry
}

// longPost returns a request with a body of the given length, chunked or not, of which
// the last bytes may be missing.
func longPost(length int, chunked bool, missing int) string {
	body := strings.Repeat("0123456789", length/10)
	head := "POST /app/pay/ HTTP/1.1\r\nHost: x\r\n"
	if chunked {
		text := fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
		return text[:len(text)-missing]
	}
	text := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	return text[:len(text)-missing]
}

// A long body is not read until the gate's daemon asks for it, and then as it was sent. A
// request for which it could be read again would reach a second target without it.
func TestLongBodyIsReadWhenAskedFor(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		s, registry := startLongBodyServer(t)
		conn := s.send(longPost(testLongBytes/2, chunked, 0))
		sub := <-s.submitted
		must.NotNil(t, sub.Request.Long)
		must.SliceEmpty(t, sub.Request.Body)
		must.Eq(t, 1, sub.Request.MaxAttempts)
		must.Less(t, testLongBytes, s.Usage().Bytes)
		body := registry.Take(sub.Request.Long.Token)
		must.Eq(t, sub.Request.Long.Length, body.Length)
		raw, err := io.ReadAll(body)
		must.NoError(t, err)
		must.Eq(t, strings.Repeat("0123456789", testLongBytes/20), string(raw))
		must.Nil(t, registry.Take(sub.Request.Long.Token))
		sub.Reply <- &request.Answer{Status: fasthttp.StatusOK, Body: []byte("done")}
		resp := s.response(conn)
		must.Eq(t, "done", string(resp.Body()))
		must.True(t, resp.ConnectionClose())
	}
}

// A caller that stops short of the end of its body must not have the part taken for the
// whole, whether it stays or leaves.
func TestPartOfLongBodyIsNotWhole(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		for _, leaves := range []bool{false, true} {
			s, registry := startLongBodyServer(t)
			conn := s.send(longPost(testLongBytes/2, chunked, 10))
			sub := <-s.submitted
			if leaves {
				must.NoError(t, conn.Close())
			}
			body := registry.Take(sub.Request.Long.Token)
			_, err := io.ReadAll(body)
			must.Error(t, err)
			<-body.Ended()
		}
	}
}

// A request that is answered before its body was asked for leaves nothing behind, and
// neither does one whose reader hangs.
func TestAnswerEndsWaitForLongBody(t *testing.T) {
	for _, taken := range []bool{false, true} {
		s, registry := startLongBodyServer(t)
		conn := s.send(longPost(testLongBytes/2, false, 10))
		sub := <-s.submitted
		var body *longbody.Body
		if taken {
			body = registry.Take(sub.Request.Long.Token)
		}
		sub.Reply <- &request.Answer{Status: fasthttp.StatusServiceUnavailable}
		must.Eq(t, fasthttp.StatusServiceUnavailable, s.response(conn).StatusCode())
		_ = conn.Close()
		s.end()
		must.Eq(t, Usage{}, s.Usage())
		if taken {
			_, err := io.ReadAll(body)
			must.Error(t, err)
		}
		must.Nil(t, registry.Take(sub.Request.Long.Token))
	}
}

// A body above the limit for long ones is refused before it is read, or cut off.
func TestBodyAboveLongLimitIsRefused(t *testing.T) {
	s, registry := startLongBodyServer(t)
	must.Eq(t, fasthttp.StatusRequestEntityTooLarge, s.response(s.send(longPost(testLongBytes+10, false, 0))).StatusCode())
	s.send(longPost(testLongBytes+10, true, 0))
	sub := <-s.submitted
	_, err := io.ReadAll(registry.Take(sub.Request.Long.Token))
	must.ErrorContains(t, err, "limit")
	sub.Reply <- &request.Answer{Status: fasthttp.StatusServiceUnavailable}
}
