package operator

import (
	"crypto/rand"
	"fmt"
	mathrand "math/rand/v2"
	"slices"
	"time"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/internal/objectstore"
	"github.com/rhubarbring/rhubarbring/internal/storeclient"
	"github.com/rhubarbring/rhubarbring/result"
	"github.com/rhubarbring/rhubarbring/session"
	"github.com/rhubarbring/rhubarbring/takeover"
)

const (
	// declareTimeout limits the time to find out whether a declaration was
	// written.
	declareTimeout      = 20 * time.Second
	declarePollInterval = 50 * time.Millisecond
)

// DeclareLostRequest is a request to record a session as lost.
type DeclareLostRequest struct {
	Environment string
	Session     host.Session
	Who         string
	Why         string
	// Daemon is the control address of one more daemon that is asked whether
	// the session renews its lease there; empty to ask none.
	Daemon string
}

// Sessions returns the session records of an environment, by name.
func (c *Client) Sessions(environment string) ([]session.VersionedRecord, error) {
	list := []session.VersionedRecord{}
	err := forEachObject(c.store.ForEnvironment(environment), session.ObjectKind, func(object objectstore.Object) error {
		v, err := versioned(object)
		if err == nil {
			list = append(list, v)
		}
		return err
	})
	return list, err
}

// DeclareLost records a session as lost because a person states that its host
// is destroyed. It returns the record as written. It refuses a session that is
// not live or draining, one whose daemon answers, and one whose lease renewals
// its witnesses or DeclareLostRequest.Daemon still receive. The write is
// conditional on the record that was read before they were asked: if that has
// changed, the error is StoreConflict and nothing was written. StoreDoubt means
// that the write may have been applied or may still be applied.
func (c *Client) DeclareLost(d DeclareLostRequest) (session.VersionedRecord, error) {
	store := c.store.ForEnvironment(d.Environment)
	v, err := readSession(store, d.Session)
	if err != nil {
		return v, err
	}
	if s := v.Record.State; s != session.Live && s != session.Draining {
		return v, notAllowed(d.Session, "the record says "+string(s)+": its keys are free already", "nothing is left to declare; see rhubarb sessions list")
	}
	if err := c.refuseIfAlive(store, d, &v.Record); err != nil {
		return v, err
	}
	put := takeover.DeclareLost(v, rand.Text())
	put.Record.Declared = &session.LossDeclaration{Who: d.Who, Why: d.Why, UnixMs: time.Now().UnixMilli()}
	return writeDeclaration(store, put)
}

func readSession(store *storeclient.Client, s host.Session) (session.VersionedRecord, error) {
	object, err := store.Get(session.ObjectKind, session.ObjectName(s))
	if isCode(err, result.StoreNotFound) {
		return session.VersionedRecord{}, &result.Error{Code: result.StoreNotFound, Field: s.String(), Detail: "the store has no such session", Remedy: "choose one from rhubarb sessions list"}
	}
	if err != nil {
		return session.VersionedRecord{}, err
	}
	return versioned(object)
}

func versioned(object objectstore.Object) (session.VersionedRecord, error) {
	record, err := session.Decode(object.Value)
	return session.VersionedRecord{Version: object.Version, Record: record}, err
}

func notAllowed(s host.Session, detail, remedy string) error {
	return &result.Error{Code: result.NotAllowed, Field: s.String(), Detail: detail, Remedy: remedy}
}

// refuseIfAlive asks the session's daemon, its witnesses and
// DeclareLostRequest.Daemon whether the session is alive. Only the last must
// answer: the others may be lost together with the session.
func (c *Client) refuseIfAlive(store *storeclient.Client, d DeclareLostRequest, r *session.Record) error {
	asked := []Host{{Session: r.Session, Control: r.ControlAddress}}
	for _, w := range r.Witnesses {
		v, err := readSession(store, w)
		if isCode(err, result.StoreNotFound) {
			continue
		}
		if err != nil {
			return err
		}
		asked = append(asked, Host{Session: w, Control: v.Record.ControlAddress})
	}
	if d.Daemon != "" {
		asked = append(asked, Host{Control: d.Daemon})
	}
	c.queryStatuses(asked)
	for _, h := range asked {
		if err := refusalFrom(d, h); err != nil {
			return err
		}
	}
	return nil
}

// refusalFrom returns the error to report for one daemon's answer or for its
// absence; nil if that daemon gives no reason to refuse.
func refusalFrom(d DeclareLostRequest, h Host) error {
	const remedy = "leave it: it is served, or its witnesses end it by themselves"
	named := d.Daemon != "" && h.Control == d.Daemon
	switch {
	case h.Status == nil && named:
		return h.Err
	case h.Status == nil:
		return nil
	case h.Status.Session == d.Session:
		return notAllowed(d.Session, "its daemon answers at "+h.Control, remedy)
	case slices.Contains(h.Status.RenewedHere, d.Session):
		return notAllowed(d.Session, "the daemon "+h.Status.Session.String()+" hears it", remedy)
	case named && h.Status.Document.Environment != d.Environment:
		return &result.Error{Code: result.BadSettings, Field: "--daemon", Detail: "it is a daemon of " + h.Status.Document.Environment, Remedy: "name one of " + d.Environment}
	}
	return nil
}

// writeDeclaration writes the record and retries until the result is known or
// declareTimeout has passed.
func writeDeclaration(store *storeclient.Client, put session.Put) (session.VersionedRecord, error) {
	started := bootclock.Now()
	w := session.NewRecordWriter(session.DefaultTiming(), mathrand.New(mathrand.NewPCG(mathrand.Uint64(), 0)))
	actions := w.Start(started, put)
	for {
		var outcome session.WriteOutcome
		if len(actions) > 0 {
			outcome, actions = performAction(store, w, actions[0])
		}
		switch {
		case outcome == session.WriteApplied:
			return session.VersionedRecord{Version: w.Version, Record: put.Record}, nil
		case outcome == session.WriteRejected:
			return w.Found, conflictError(put.Record.Session, w.Found)
		case bootclock.Now().Sub(started) > declareTimeout:
			return session.VersionedRecord{}, unconfirmedError(w, put.Record.Session)
		case len(actions) == 0:
			time.Sleep(declarePollInterval)
			actions = w.Tick(bootclock.Now())
		}
	}
}

// performAction makes the call that the writer asks for.
func performAction(store *storeclient.Client, w *session.RecordWriter, action session.Action) (session.WriteOutcome, []session.Action) {
	switch a := action.(type) {
	case session.Put:
		return w.PutResult(bootclock.Now(), putRecord(store, a))
	case session.Get:
		return w.GetResult(bootclock.Now(), getRecord(store, a))
	}
	return session.WriteUnconfirmed, nil
}

func putRecord(store *storeclient.Client, a session.Put) session.PutResult {
	r := session.PutResult{Token: a.Record.Token, Code: result.StoreUnavailable}
	value, err := a.Record.Encode()
	if err != nil {
		return r
	}
	r.Version, err = store.Put(session.ObjectKind, session.ObjectName(a.Record.Session), a.IfVersion, value)
	r.Code = objectstore.CodeOf(err)
	return r
}

func getRecord(store *storeclient.Client, a session.Get) session.GetResult {
	r := session.GetResult{Session: a.Session}
	object, err := store.Get(session.ObjectKind, session.ObjectName(a.Session))
	if r.Code = objectstore.CodeOf(err); err != nil {
		return r
	}
	if r.Found, err = versioned(object); err != nil {
		r.Code = result.StoreUnavailable
	}
	return r
}

func conflictError(s host.Session, found session.VersionedRecord) error {
	detail := "its record is gone from the store"
	if found.Version != 0 {
		detail = fmt.Sprintf("its record changed meanwhile and says %s at version %d", found.Record.State, found.Version)
	}
	return &result.Error{Code: result.StoreConflict, Field: s.String(), Detail: "not declared: " + detail, Remedy: "its daemon may still be running, since the record was written: check rhubarb sessions list before you try again"}
}

func unconfirmedError(w *session.RecordWriter, s host.Session) error {
	if w.Unsent() {
		return &result.Error{Code: result.StoreUnavailable, Field: s.String(), Detail: "not declared: the store can't be reached", Remedy: "run it again when the store is back"}
	}
	return &result.Error{Code: result.StoreDoubt, Field: s.String(), Detail: "the declaration may have been written or may still be written", Remedy: "see rhubarb sessions list; if the session is not recorded as lost, run the command again"}
}
