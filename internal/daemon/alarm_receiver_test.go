package daemon

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/alarm"
	"github.com/rhubarbring/rhubarbring/internal/httpanswer/answertest"
)

// Guards against an alarm that nobody gets: an answer that is none does not say that the
// receiver has taken it.
func TestAlarmIsTakenOnlyByAnAnswerThatSaysSo(t *testing.T) {
	for head, taken := range map[string]bool{
		"HTTP/1.1 200 OK\r\n":                 true,
		"HTTP/1.1 202 Accepted\r\n":           true,
		"HTTP/1.1 000 OK\r\n":                 false,
		"HTTP/1.1 099 OK\r\n":                 false,
		"HTTP/1.1 302 Found\r\n":              false,
		"HTTP/1.1 503 No\r\n":                 false,
		"HTTP/1.1 200 OK\r\nX Foo: 1\r\n":     false,
		"HTTP/1.1 200 OK\r\n X-Folded: 1\r\n": false,
	} {
		server := answertest.Start(t, head+"Content-Length: 0\r\n\r\n", false)
		err := newAlarmReceiver().post("http://"+server.Address+"/", alarm.Alarm{ID: "a"})
		must.Eq(t, taken, err == nil, must.Sprintf("%q: %v", head, err))
	}
}
