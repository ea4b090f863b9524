package daemon

import (
	"encoding/json"
	"slices"

	"github.com/rhubarbring/rhubarbring/alarm"
	"github.com/rhubarbring/rhubarbring/alarmrecord"
	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/objectstore"
	"github.com/rhubarbring/rhubarbring/internal/peer"
	"github.com/rhubarbring/rhubarbring/internal/wire"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/result"
	"github.com/rhubarbring/rhubarbring/session"
)

// Tasks of the risk loop that concern the stored records of alarms.
type (
	alarmReportReceived struct {
		from   *peer.Conn
		report alarmrecord.Report
	}
	alarmAnswerReceived struct {
		from   *peer.Conn
		answer alarmrecord.Answer
	}
	// alarmCallDone is the answer to a call of the store.
	alarmCallDone struct{ event alarmrecord.Event }
)

func (w alarmReportReceived) handle(r *riskLoop, now mono.Time) {
	if from := w.from.Session(); !from.IsZero() {
		r.stepRecords(now, alarmrecord.ReportReceived{From: from, Report: &w.report})
	}
}

func (w alarmAnswerReceived) handle(r *riskLoop, now mono.Time) {
	if from := w.from.Session(); !from.IsZero() {
		r.stepRecords(now, alarmrecord.AnswerReceived{From: from, Answer: &w.answer})
	}
}

func (w alarmCallDone) handle(r *riskLoop, now mono.Time) {
	r.stepRecords(now, w.event)
}

// handleFrame decodes a message about alarms and adds it to the ring.
func (r *riskLoop) handleFrame(from *peer.Conn, kind wire.Kind, payload []byte) error {
	if kind == wire.KindAlarmReport {
		return decodeFrame(payload, func(m alarmrecord.Report) { r.ring.Push(alarmReportReceived{from, m}) })
	}
	return decodeFrame(payload, func(m alarmrecord.Answer) { r.ring.Push(alarmAnswerReceived{from, m}) })
}

// stepRecords passes an event to the recorder of alarms and carries out the
// resulting actions, of which an acknowledgement may lead to another step.
func (r *riskLoop) stepRecords(now mono.Time, ev alarmrecord.Event) {
	for _, action := range slices.Clone(r.records.Step(now, ev)) {
		switch a := action.(type) {
		case alarmrecord.SendReport:
			r.sendAlarms(a.To, wire.KindAlarmReport, a.Report)
		case alarmrecord.SendAnswer:
			r.sendAlarms(a.To, wire.KindAlarmAnswer, a.Answer)
		case alarmrecord.Read:
			r.readRecord(a.ID)
		case alarmrecord.Write:
			r.writeRecord(a)
		case alarmrecord.List:
			go r.listRecords()
		case alarmrecord.Acknowledged:
			r.d.log.Event(event.AlarmAcknowledged, "id", a.ID, "who", a.Acknowledgement.Who, "why", a.Acknowledgement.Why)
			r.stepAlarm(now, alarm.Acknowledge{ID: a.ID})
		}
	}
	r.gauges.unstoredAlarms.Update(int64(r.records.Unstored()))
	r.logCollector()
}

// logCollector logs a change of the daemon that writes the records of this one's
// alarms, if there are any.
func (r *riskLoop) logCollector() {
	collector := r.records.Collector()
	if collector == r.collector || r.records.Empty() {
		return
	}
	r.collector = collector
	r.d.log.Event(event.AlarmCollector, "collector", collector.String(), "unstored", r.records.Unstored())
}

// sendAlarms sends a message about alarms. One that is lost is sent again.
func (r *riskLoop) sendAlarms(to host.Session, kind wire.Kind, message any) {
	frame, err := wire.Encode(kind, message)
	if err != nil {
		r.d.log.Event(event.BadFrame, "peer", to.String(), "cause", err.Error())
		return
	}
	if address := r.d.fleet.peerAddress(to); address != "" {
		_, _ = r.d.peers.Send(address, frame, 0)
	}
}

func (r *riskLoop) readRecord(id string) {
	r.d.store.enqueue(storeCall{op: opGet, kind: alarm.StoreKind, name: id, done: func(a storeAnswer) {
		stored := alarmrecord.StoredRecord{ID: id, Version: a.object.Version, Record: decodeRecord(a.object.Value)}
		r.ring.PushWait(alarmCallDone{alarmrecord.ReadDone{Code: a.code, Stored: stored}}, r.stop)
	}})
}

// decodeRecord returns nil for a value that is no record. It is replaced then.
func decodeRecord(value []byte) *alarm.Record {
	var record alarm.Record
	if json.Unmarshal(value, &record) != nil {
		return nil
	}
	return &record
}

func (r *riskLoop) writeRecord(w alarmrecord.Write) {
	done := func(a storeAnswer) {
		r.ring.PushWait(alarmCallDone{alarmrecord.WriteDone{ID: w.ID, Code: a.code, Version: a.object.Version}}, r.stop)
	}
	raw, err := json.Marshal(w.Record)
	if err != nil {
		go done(storeAnswer{code: result.StoreTooLarge})
		return
	}
	r.d.store.enqueue(storeCall{op: opPut, kind: alarm.StoreKind, name: w.ID, ifVersion: w.IfVersion, value: raw, done: done})
}

// listRecords reads all records, which may be seconds old. It runs on its own
// goroutine.
func (r *riskLoop) listRecords() {
	var done alarmrecord.ListDone
	for after := ""; ; {
		page, err := objectstore.ListStale(r.d.client, alarm.StoreKind, after, listPage)
		r.d.store.recordResult("list", alarm.StoreKind, err)
		if err != nil {
			done.Failed = true
			break
		}
		for _, o := range page.Items {
			if record := decodeRecord(o.Value); record != nil {
				done.Records = append(done.Records, alarmrecord.StoredRecord{ID: o.Name, Version: o.Version, Record: record})
			}
		}
		if after = page.Next; after == "" {
			break
		}
	}
	r.ring.PushWait(alarmCallDone{done}, r.stop)
}

// setAlarmPeers tells the recorder of alarms which daemons are alive, and which of
// them may write the records for this one: the first of the fleet, of the own
// region and of the own zone, by host, and this daemon itself. The one of the
// fleet merges the reports of all; the others take over where it can't be
// reached.
func (r *riskLoop) setAlarmPeers(now mono.Time) {
	peers := alarmrecord.Peers{}
	var fleet, region, zone host.Session
	first := func(s *host.Session, candidate host.Session) {
		if s.IsZero() || candidate.Host < s.Host || candidate.Host == s.Host && candidate.Incarnation > s.Incarnation {
			*s = candidate
		}
	}
	for id, v := range r.d.fleet.sessions.Load().records {
		if v.Record.State.Final() {
			continue
		}
		peers.Living = append(peers.Living, id)
		if v.Record.State != session.Live {
			continue
		}
		first(&fleet, id)
		if v.Record.Place.Region != r.d.settings.Region {
			continue
		}
		first(&region, id)
		if v.Record.Place.Zone == r.d.settings.Zone {
			first(&zone, id)
		}
	}
	for _, s := range []host.Session{fleet, region, zone, r.d.self} {
		if !s.IsZero() && !slices.Contains(peers.Candidates, s) {
			peers.Candidates = append(peers.Candidates, s)
		}
	}
	r.stepRecords(now, peers)
}
