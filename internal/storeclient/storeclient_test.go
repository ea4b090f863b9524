package storeclient_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/internal/httpanswer/answertest"
	"github.com/rhubarbring/rhubarbring/internal/objectstore"
	"github.com/rhubarbring/rhubarbring/internal/storeclient"
	"github.com/rhubarbring/rhubarbring/result"
)

// Guards against an answer of the store that is none being believed: without a status,
// which the HTTP library reads as 200, or with a field whose name holds a blank. A write
// so answered may not have been taken.
func TestMalformedAnswerIsNotBelieved(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 000 OK\r\n", "HTTP/1.1 200 OK\r\nX Foo: 1\r\n", "HTTP/1.1 200 OK\r\nVersion : 9\r\n"} {
		server := answertest.Start(t, head+"Version: 7\r\nContent-Length: 2\r\n\r\n{}", false)
		store := storeclient.New(server.Address, time.Second)
		_, err := store.Get("x", "a")
		must.Eq(t, result.StoreUnavailable, objectstore.CodeOf(err), must.Sprintf("%q: %v", head, err))
		_, err = store.Put("x", "a", 1, []byte("a"))
		must.Eq(t, result.StoreDoubt, objectstore.CodeOf(err), must.Sprintf("%q: %v", head, err))
		must.Eq(t, result.StoreDoubt, objectstore.CodeOf(store.Delete("x", "a", 7)), must.Sprintf("%q", head))
		_, err = store.Watch("x", 1, time.Second)
		must.Eq(t, result.StoreUnavailable, objectstore.CodeOf(err), must.Sprintf("%q: %v", head, err))
	}
}
