package operator_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/internal/httpanswer/answertest"
	"github.com/rhubarbring/rhubarbring/internal/operator"
)

// Guards against an operator being shown, as a daemon's status, an answer that is none.
func TestMalformedAnswerIsNoStatus(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 000 OK\r\n", "HTTP/1.1 200 OK\r\nX Foo: 1\r\n"} {
		server := answertest.Start(t, head+"Content-Length: 2\r\n\r\n{}", false)
		_, err := operator.New(server.Address, time.Second).Status(server.Address)
		must.Error(t, err, must.Sprintf("%q", head))
	}
}
