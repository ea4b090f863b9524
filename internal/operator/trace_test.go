package operator_test

import (
	"io"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/internal/operator"
)

const entryLog = `host=h1 ts=2026-01-02T03:04:05.1Z event=4001 name=request_sent level=info id=a1 app=pay slice=3 to=h2/7 epoch=1 attempt=1
 12.5 side-1 host=h1 ts=2026-01-02T03:04:05.4Z event=4003 name=request_answered level=info id=a1 code=203 result=queue_full owner=h2 epoch=1 attempt=1
no log line with a1 in it
host=h1 ts=2026-01-02T03:04:06Z event=4001 name=request_sent level=info id=a12 app=pay slice=3 to=h2/7 epoch=1 attempt=1
`

const gateLog = `host=h2 ts=2026-01-02T03:04:05.2Z event=4006 name=request_refused level=info id=a1 code=203 result=queue_full epoch=1 attempt=1 jobs=14 slots=12
host=h2 ts=2026-01-02T03:04:05.3Z event=4001 name=request_sent level=info id=a1.7 app=stock slice=0 to=h3/1 epoch=0 attempt=1
`

func logs(texts ...string) []io.Reader {
	var out []io.Reader
	for _, text := range texts {
		out = append(out, strings.NewReader(text))
	}
	return out
}

// The lines of two daemons are sorted by time, and the gate's refusal is
// reported as the decision that determined the result.
func TestTraceReportsDecisiveRefusal(t *testing.T) {
	trace, err := operator.ReadTrace("a1", logs(entryLog, gateLog))
	must.NoError(t, err)
	var names []string
	for _, l := range trace.Lines {
		names = append(names, l.Host+" "+l.Name)
	}
	must.Eq(t, []string{"h1 request_sent", "h2 request_refused", "h2 request_sent", "h1 request_answered"}, names)
	must.Eq(t, 1, trace.Decision)
	must.StrContains(t, strings.Join(trace.Lines[1].Fields, " "), "jobs=14")
}

func TestTraceWithoutAnswerHasNoDecision(t *testing.T) {
	trace, err := operator.ReadTrace("a12", logs(entryLog))
	must.NoError(t, err)
	must.Len(t, 1, trace.Lines)
	must.Eq(t, -1, trace.Decision)
}
