package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rhubarbring/rhubarbring/alarm"
	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/controlrpc"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/outcome"
	"github.com/rhubarbring/rhubarbring/result"
)

const callTimeout = 2 * time.Second

// zoneActivity records when a frame from each availability zone last arrived.
type zoneActivity struct {
	mu    sync.Mutex
	at    map[string]mono.Time
	clock func() mono.Time
}

// outcomeSender sends the messages of package outcome to other daemons' control
// addresses with Twirp.
type outcomeSender struct {
	d      *Daemon
	client *http.Client
}

func newOutcomeSender(d *Daemon) *outcomeSender {
	transport := &http.Transport{
		DialContext: func(_ context.Context, _, address string) (net.Conn, error) {
			return d.dial(address, callTimeout)
		},
	}
	return &outcomeSender{d: d, client: &http.Client{Timeout: callTimeout, Transport: transport}}
}

// send sends a message on its own goroutine. The outcome recorder repeats lost
// messages.
func (c *outcomeSender) send(to host.Session, m outcome.Message) {
	v, ok := c.d.fleet.sessions.Load().records[to]
	if !ok {
		return
	}
	message, err := c.encode(m)
	if err != nil {
		return
	}
	remote := controlrpc.NewControlProtobufClient("http://"+v.Record.ControlAddress, c.client)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		_, _ = remote.Outcomes(ctx, message)
	}()
}

func (c *outcomeSender) encode(m outcome.Message) (*controlrpc.OutcomesMessage, error) {
	out := &controlrpc.OutcomesMessage{Host: string(c.d.self.Host), Incarnation: c.d.self.Incarnation}
	switch m := m.(type) {
	case *outcome.Copy:
		raw, err := m.Batch.Encode()
		if err != nil {
			return nil, err
		}
		out.Message = &controlrpc.OutcomesMessage_Copy{Copy: raw}
	case *outcome.CopyAck:
		out.Message = &controlrpc.OutcomesMessage_Kept{Kept: m.Name}
	case *outcome.BatchesStored:
		out.Message = &controlrpc.OutcomesMessage_Dropped{Dropped: &controlrpc.BatchNames{Names: m.Names}}
	}
	return out, nil
}

// Outcomes implements controlrpc.Control.
func (d *Daemon) Outcomes(_ context.Context, m *controlrpc.OutcomesMessage) (*controlrpc.OutcomesReceived, error) {
	message, err := decodeOutcomes(m)
	if err != nil {
		return nil, err
	}
	from := host.Session{Host: host.ID(m.Host), Incarnation: m.Incarnation}
	if !d.risk.ring.Push(outcomesReceived{from: from, message: message}) {
		return nil, &result.Error{Code: result.RingFull, Detail: "the daemon is overloaded"}
	}
	return &controlrpc.OutcomesReceived{}, nil
}

func decodeOutcomes(m *controlrpc.OutcomesMessage) (outcome.Message, error) {
	switch body := m.Message.(type) {
	case *controlrpc.OutcomesMessage_Copy:
		batch, err := outcome.Decode(body.Copy)
		if err != nil {
			return nil, err
		}
		return &outcome.Copy{Batch: *batch}, nil
	case *controlrpc.OutcomesMessage_Kept:
		return &outcome.CopyAck{Name: body.Kept}, nil
	case *controlrpc.OutcomesMessage_Dropped:
		return &outcome.BatchesStored{Names: body.Dropped.GetNames()}, nil
	default:
		return nil, &result.Error{Code: result.BadFrame, Detail: "a message about outcomes without a body"}
	}
}

// Sessions implements controlrpc.Control.
func (d *Daemon) Sessions(context.Context, *controlrpc.SessionsRequest) (*controlrpc.SessionsReply, error) {
	reply := &controlrpc.SessionsReply{}
	for _, v := range d.fleet.sessions.Load().records {
		raw, err := v.Record.Encode()
		if err != nil {
			return nil, err
		}
		reply.Records = append(reply.Records, &controlrpc.SessionRecord{Version: v.Version, Value: raw})
	}
	return reply, nil
}

// deliver posts an alarm to the receiver that the document names. It runs on
// its own goroutine.
func (r *riskLoop) deliver(a alarm.Alarm) {
	err := r.post(a)
	if err != nil {
		r.d.log.Event(event.AlarmNotTaken, "id", a.ID, "deliveries", a.Deliveries, "cause", err.Error())
	} else {
		r.d.log.Event(event.AlarmTaken, "id", a.ID, "deliveries", a.Deliveries)
	}
	r.ring.PushWait(alarmDelivered{id: a.ID, taken: err == nil}, r.stop)
}

func (r *riskLoop) post(a alarm.Alarm) error {
	doc := r.d.fleet.document.Load()
	if doc == nil {
		return &result.Error{Code: result.NotConfigured, Detail: "no document is in force"}
	}
	return r.receiver.post(doc.document.Alarm.Receiver, a)
}
