package daemon

import (
	"encoding/json"
	"sort"
	"strconv"
	"time"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/internal/control"
	"github.com/rhubarbring/rhubarbring/internal/entry"
	"github.com/rhubarbring/rhubarbring/internal/peer"
	"github.com/rhubarbring/rhubarbring/internal/storeclient"
	"github.com/rhubarbring/rhubarbring/internal/targetclient"
	"github.com/rhubarbring/rhubarbring/internal/wire"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
	"github.com/rhubarbring/rhubarbring/session"
)

const (
	thinDeadline = time.Second
	thinMaximum  = 5 * time.Second
	listLimit    = 100
	grantTime    = 2 * time.Second
)

type thinTarget struct {
	announcement control.Announcement
	client       *targetclient.Client
}

// Announce takes a target's announcement.
func (d *Daemon) Announce(a control.Announcement) (string, error) {
	old := d.target.Load()
	if old == nil || old.announcement.Address != a.Address {
		d.target.Store(&thinTarget{announcement: a, client: targetclient.New(a.Address, a.Connections)})
	}
	return d.self.String(), nil
}

// Ready reports whether the daemon has a map.
func (d *Daemon) Ready() error {
	if len(d.view.Load().packs) == 0 {
		return &result.Error{Code: result.NotConfigured, Detail: "no assignment yet"}
	}
	return nil
}

// Status describes the daemon.
func (d *Daemon) Status() any {
	return d.view.Load().versions
}

// Explain describes a key's owner.
func (d *Daemon) Explain(app, k string) (any, error) {
	slice, _, ok := d.view.Load().owner(key.App(app), k)
	if !ok {
		return nil, &result.Error{Code: result.UnknownApp, Field: app}
	}
	return slice, nil
}

// follow reads sessions and assignments and, on the first host, assigns.
func (d *Daemon) follow() {
	defer d.done.Done()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case <-d.stop:
			return
		case <-tick.C:
			d.register()
			d.read()
			d.assign()
		}
	}
}

func (d *Daemon) register() {
	target := d.target.Load()
	if target == nil {
		return
	}
	v := d.view.Load()
	if _, ok := v.sessions[d.self]; ok {
		return
	}
	record := session.Record{
		Session: d.self, Place: host.Place{Region: d.settings.Region, Zone: d.settings.Zone},
		Peer: d.settings.Peer, Control: d.settings.Control, Caller: d.settings.Caller, State: session.Live,
		Target: &session.Target{App: key.App(target.announcement.App), Slots: target.announcement.Slots},
	}
	raw, err := json.Marshal(record)
	if err != nil {
		return
	}
	_, _ = d.store.Put("session", string(d.self.Host), v.versions["session/"+string(d.self.Host)], raw)
}

func (d *Daemon) read() {
	next := &view{sessions: map[host.Session]session.Record{}, versions: map[string]uint64{}, packs: map[key.App]*assignment.Pack{}}
	for _, kind := range []string{"session", "assignment"} {
		page, err := d.store.List(kind, "", listLimit)
		if err != nil {
			return
		}
		for _, item := range page.Items {
			next.add(item)
		}
	}
	d.view.Store(next)
}

func (v *view) add(item storeclient.Object) {
	v.versions[item.Kind+"/"+item.Name] = item.Version
	if item.Kind == "session" {
		var record session.Record
		if json.Unmarshal(item.Value, &record) == nil {
			v.sessions[record.Session] = record
		}
		return
	}
	if pack, err := assignment.Decode(item.Value); err == nil {
		v.packs[pack.App] = pack
	}
}

func (d *Daemon) assign() {
	v := d.view.Load()
	apps := map[key.App][]host.Session{}
	first := host.ID("")
	for s, record := range v.sessions {
		apps[record.Target.App] = append(apps[record.Target.App], s)
		if first == "" || s.Host < first {
			first = s.Host
		}
	}
	if first != d.self.Host {
		return
	}
	for app, owners := range apps {
		d.assignApp(v, app, owners)
	}
}

func (d *Daemon) assignApp(v *view, app key.App, owners []host.Session) {
	sort.Slice(owners, func(i, j int) bool { return owners[i].Host < owners[j].Host })
	old := v.packs[app]
	pack := assignment.NewPack(app, thinSlices, 0)
	changed := old == nil
	for i := range key.SliceID(thinSlices) {
		want := owners[int(i)%len(owners)]
		held := assignment.Slice{}
		if old != nil {
			held, _ = old.At(i)
		}
		if held.Owner != want {
			held = assignment.Slice{Owner: want, Epoch: held.Epoch + 1}
			changed = true
		}
		pack.Set(i, held)
	}
	raw, err := pack.Encode()
	if err != nil || !changed {
		return
	}
	name := assignment.Name(app, 0)
	_, _ = d.store.Put("assignment", name, v.versions["assignment/"+name], raw)
}

// Limits returns what the entry checks requests of an app against.
func (d *Daemon) Limits(app string) (entry.Limits, error) {
	if _, ok := d.view.Load().packs[key.App(app)]; !ok {
		return entry.Limits{}, &result.Error{Code: result.UnknownApp, Field: "app", Detail: strconv.Quote(app) + " is not known"}
	}
	return entry.Limits{Keyed: app != "payments", DefaultDeadline: thinDeadline, MaxDeadline: thinMaximum}, nil
}

// Submit sends a request to the owner of its key.
func (d *Daemon) Submit(sub entry.Submission) bool {
	v := d.view.Load()
	routed := sub.Request.Key
	if routed == "" {
		routed = sub.Request.ID
	}
	slice, id, _ := v.owner(sub.Request.App, routed)
	sub.Request.Slice, sub.Request.Epoch, sub.Request.Attempt = id, slice.Epoch, 1
	d.mu.Lock()
	d.pending[sub.Request.ID] = sub
	d.mu.Unlock()
	if slice.Owner == d.self {
		go func() { d.answer(d.serve(sub.Request)) }()
		return true
	}
	frame, err := wire.Encode(wire.KindRequest, sub.Request)
	if err == nil {
		err = d.peers.Send(v.sessions[slice.Owner].Peer, frame, peer.Tag{ID: sub.Request.ID, Attempt: 1})
	}
	if err != nil {
		d.answer(request.Answer{ID: sub.Request.ID, Code: result.PeerUnreachable})
	}
	return true
}

// Gone is told that a caller hung up.
func (d *Daemon) Gone(string) {}

func (d *Daemon) serve(r request.Request) request.Answer {
	target := d.target.Load()
	answer := request.Answer{ID: r.ID, Attempt: r.Attempt, Owner: string(d.self.Host), Epoch: r.Epoch, Code: result.TargetUnavailable}
	if target == nil {
		return answer
	}
	now := bootclock.Now()
	reply := target.client.Do(targetclient.Call{
		Request: r, Slice: key.Slice{App: r.App, ID: r.Slice}, Deadline: now.Add(r.Budget), Wait: r.Budget,
		Grant: targetclient.Grant{Owner: d.self, Epoch: r.Epoch, Expires: now.Add(grantTime)},
	})
	switch reply.Verdict {
	case targetclient.Answered:
		answer.Code, answer.Status, answer.Type, answer.Body = result.OK, reply.Status, reply.Type, reply.Body
	case targetclient.Refused:
		answer.Code = result.TargetShed
	case targetclient.LostAfterSend:
		answer.Code = result.AnswerLost
	}
	return answer
}

// Frame takes a message of another daemon.
func (d *Daemon) Frame(from *peer.Conn, kind wire.Kind, payload []byte) {
	switch kind {
	case wire.KindRequest:
		if r, err := wire.Decode[request.Request](payload); err == nil {
			go d.reply(from, r)
		}
	case wire.KindAnswer:
		if a, err := wire.Decode[request.Answer](payload); err == nil {
			d.answer(a)
		}
	}
}

func (d *Daemon) reply(from *peer.Conn, r request.Request) {
	if frame, err := wire.Encode(wire.KindAnswer, d.serve(r)); err == nil {
		_ = from.Send(frame)
	}
}

// Unsent is told that a frame never left.
func (d *Daemon) Unsent(_ string, tag peer.Tag) {
	d.answer(request.Answer{ID: tag.ID, Code: result.PeerUnreachable})
}

// Lost is told that a connection ended.
func (d *Daemon) Lost(*peer.Conn, error) {}
