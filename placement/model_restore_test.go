package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/handover"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/restore"
	"github.com/rhubarbring/rhubarbring/session"
)

// modelRestores is the part of the model in which the store comes back from a copy.
type modelRestores struct {
	enabled bool
	era     restore.Era
	copies  []modelCopy
	// noticeBy is until when every daemon that runs gets the newest packs, since
	// they have entries that are not in force; 0 if they have none.
	noticeBy mono.Time
	// topEpochs holds the highest epoch in force that a slice was given at, and
	// topOwners the session that got it.
	topEpochs map[key.SliceID]uint64
	topOwners map[key.SliceID]host.Session
}

// modelCopy is a copy of the packs and the records.
type modelCopy struct {
	revision uint64
	packs    map[string]storedPack
	records  map[host.ID]int // Number of records of each host.
}

// number returns the version that a revision has in the store's era.
func (m *model) number(revision uint64) uint64 {
	n, err := restore.Version{Era: m.restores.era, Revision: revision}.Number()
	if err != nil {
		panic(err)
	}
	return n
}

// mayWrite reports whether a leader's client of the store sends a write: its
// condition is not of an earlier era than the client has seen.
func (l *modelLeader) mayWrite(a Write) bool {
	return a.IfVersion == 0 || a.IfVersion == anyVersion || restore.VersionOf(a.IfVersion).Era >= l.eraSeen
}

// showPack shows a version of a pack to a leader; a nil pack means that the store
// has lost it.
func (m *model) showPack(l *modelLeader, v storedPack) {
	l.eraSeen = max(l.eraSeen, restore.VersionOf(v.version).Era)
	if v.pack == nil {
		m.stepLeader(l, PackMissing{App: m.app.Name, Version: v.version})
		return
	}
	m.stepLeader(l, PackObserved{Pack: v.pack, Version: v.version})
}

// readRecord answers a leader's read of a session record.
func (m *model) readRecord(l *modelLeader, name string) {
	id, _ := session.ParseObjectName(name)
	for _, r := range slices.Backward(m.records[id.Host]) {
		if r.record.Session == id {
			m.stepLeader(l, SessionObserved{Record: r.record, Version: r.version})
			return
		}
	}
	m.stepLeader(l, SessionMissing{Session: id})
}

// showRestored shows the newest packs to a leader, as relays do after a restore.
func (m *model) showRestored(l *modelLeader) {
	if !m.restores.enabled {
		return
	}
	for _, versions := range m.packs {
		m.showPack(l, versions[len(versions)-1])
	}
}

// deliverPack delivers a version of a pack to a host, which contests the slices
// that it holds and whose entries are not in force.
func (m *model) deliverPack(h *modelHost, v storedPack) {
	pack := v.pack
	if pack == nil {
		pack = assignment.NewPack(m.app.Name, m.app.Slices, 0)
	}
	for _, c := range h.view.PutPack(pack, v.version) {
		m.hostActions(h, h.holder.ApplyChange(m.now, c))
	}
	for _, s := range h.holder.Held() {
		if !h.view.InForce(s) {
			h.holder.Contest(m.now, s)
		}
	}
}

// sendClaims sends a host's claims to both leaders, which get them at any time.
func (m *model) sendClaims(h *modelHost) {
	c := handover.Claim{From: h.self, App: m.app.Name}
	version := h.view.Version(m.app.Name, 0)
	for _, held := range h.holder.Claims(m.now) {
		c.Slices = append(c.Slices, handover.ClaimedSlice{ID: held.Slice.ID, Epoch: held.Epoch, Version: version})
	}
	if len(c.Slices) == 0 || !h.alive {
		return
	}
	for _, l := range m.leaders {
		l.claims = append(l.claims, c)
	}
}

// storePack makes a version of a pack the current one.
func (m *model) storePack(name string, v storedPack) {
	m.packs[name] = append(m.packs[name], v)
	if !m.allInForce(v) {
		m.restores.noticeBy = m.now.Add(restore.NoticeTime)
	}
}

func (m *model) allInForce(v storedPack) bool {
	era := restore.VersionOf(v.version).Era
	ok := v.pack != nil || era == 0
	if v.pack != nil {
		eachEntry(v.pack, func(_ key.SliceID, s assignment.Ownership) { ok = ok && restore.Epoch(s.Epoch).InForce(era) })
	}
	return ok
}

// advance lets time pass. Entries that are not in force reach every daemon within
// restore.NoticeTime, and a target that checks grants ends the runs of a slice that
// its daemon no longer serves within a lease.
func (m *model) advance() {
	m.now = m.now.Add(time.Duration(modelStep))
	r := &m.restores
	if r.enabled {
		m.limitRuns()
	}
	if r.noticeBy != 0 && !m.now.Before(r.noticeBy) {
		r.noticeBy = 0
		for _, h := range m.hosts {
			for _, versions := range m.packs {
				m.deliverPack(h, versions[len(versions)-1])
			}
		}
	}
	if r.enabled {
		for _, h := range m.hosts {
			m.hostActions(h, h.holder.Tick(m.now))
		}
	}
	m.endExpiredRequests()
}

func (m *model) limitRuns() {
	for i := range m.requests {
		q := &m.requests[i]
		s, ok := q.host.view.Locate(m.app.Name, q.key)
		if ok && q.host.checksGrants && !q.host.holder.Admits(m.now, s).Admitted() {
			q.deadline = min(q.deadline, m.now.Add(session.DefaultTiming().Lease))
		}
	}
}

// randomRestore sometimes copies the store, or brings it back from a copy.
func (m *model) randomRestore() {
	if !m.restores.enabled {
		return
	}
	switch m.intn(16) {
	case 0, 1, 2:
		m.copyStore()
	case 3:
		if n := len(m.restores.copies); n > 0 {
			m.restoreStore(m.restores.copies[max(0, n-1-m.intn(3))])
		}
	}
}

func (m *model) copyStore() {
	c := modelCopy{revision: m.revision, packs: make(map[string]storedPack), records: make(map[host.ID]int)}
	for name, versions := range m.packs {
		c.packs[name] = versions[len(versions)-1]
	}
	for id, records := range m.records {
		c.records[id] = len(records)
	}
	m.restores.copies = append(m.restores.copies, c)
}

// restoreStore brings the store back from a copy. Revisions are given out again.
// Sessions that ended since are live again in the store.
func (m *model) restoreStore(c modelCopy) {
	m.restores.era++
	m.revision = c.revision
	for _, name := range slices.Sorted(maps.Keys(m.packs)) {
		v, ok := c.packs[name]
		if !ok || v.pack == nil {
			m.storePack(name, storedPack{version: m.number(0)})
			continue
		}
		m.storePack(name, storedPack{version: m.number(restore.VersionOf(v.version).Revision), pack: v.pack})
	}
	for _, id := range slices.Sorted(maps.Keys(m.records)) {
		for _, r := range m.records[id][min(c.records[id], len(m.records[id])):] {
			if r.record.State.Final() {
				m.revive(r)
			}
		}
	}
}

// revive stores the record of a session that has ended as live, and after it the end
// again: takeovers see to that.
func (m *model) revive(ended storedRecord) {
	live := ended.record
	live.State = session.Live
	m.record(live)
	m.record(ended.record)
}

// checkWrite checks a write that is applied. Epochs of another era take nothing from
// anybody: they are not in force.
func (m *model) checkWrite(old, pack *assignment.Pack) {
	if old == nil {
		old = assignment.NewPack(m.app.Name, m.app.Slices, 0)
	}
	if m.restores.era == 0 {
		m.checkPack(old, pack)
	}
	if !m.restores.enabled {
		return
	}
	eachEntry(pack, func(id key.SliceID, s assignment.Ownership) {
		before, _ := old.At(id)
		if restore.Epoch(s.Epoch).InForce(m.restores.era) && s.Epoch != before.Epoch {
			m.checkGiven(id, s)
		}
	})
}

// checkGiven checks that a slice is given at an epoch above all with which another
// session had it.
func (m *model) checkGiven(id key.SliceID, s assignment.Ownership) {
	r := &m.restores
	if r.topEpochs == nil {
		r.topEpochs, r.topOwners = make(map[key.SliceID]uint64), make(map[key.SliceID]host.Session)
	}
	if s.Epoch <= r.topEpochs[id] && s.Owner != r.topOwners[id] {
		m.fail("slice %d goes to %s at epoch %x; %s had it at %x", id, s.Owner, s.Epoch, r.topOwners[id], r.topEpochs[id])
	}
	if s.Epoch > r.topEpochs[id] {
		r.topEpochs[id], r.topOwners[id] = s.Epoch, s.Owner
	}
}

// checkHolders checks that no two hosts admit requests for a slice.
func (m *model) checkHolders() {
	for id := range key.SliceID(m.app.Slices) {
		var holder *modelHost
		for _, h := range m.hosts {
			if !h.holder.Admits(m.now, key.Slice{App: m.app.Name, ID: id}).Admitted() {
				continue
			}
			if holder != nil {
				m.fail("slice %d is held by %s and by %s", id, holder.self, h.self)
			}
			holder = h
		}
	}
}
