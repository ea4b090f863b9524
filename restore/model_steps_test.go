package restore_test

import "fmt"

// action is a kind of step.
type action uint8

const (
	doTick action = iota
	doCopy
	doRestore
	doLand // The late write lands.
	doSync
	doRestart
	doDeclareLost
	doMove
	doConfirm
	doTake
	doChangeDocument  // The operator writes the next document.
	doRewriteDocument // The operator writes the newest document again.
)

var actionNames = [...]string{"tick", "copy", "restore", "land", "sync", "restart", "declare lost", "move", "confirm", "take", "change document", "rewrite document"}

// step is one step of the model: what host i does, to slice or session n, with
// host to.
type step struct {
	do       action
	i, n, to uint8
	late     bool
}

func (s step) String() string {
	text := fmt.Sprintf("%s i=%d n=%d to=%d", actionNames[s.do], s.i, s.n, s.to)
	if s.late {
		text += " late"
	}
	return text
}

// maxCopies bounds the copies taken before each restore; the initial state is one
// more.
const maxCopies = 2

// maxDocument is the highest version of the document.
const maxDocument = 200

// steps appends the steps that are possible in a state.
func (m *model) steps(w *world, out []step) []step {
	out = append(out, step{do: doTick})
	if w.copies < maxCopies && w.restores < m.maxRestores && w.copied != w.store {
		out = append(out, step{do: doCopy})
	}
	if w.restores < m.maxRestores {
		out = append(out, step{do: doRestore})
	}
	if w.late.sent {
		out = append(out, step{do: doLand})
	}
	if m.documents {
		out = m.documentSteps(w, out)
	}
	for i := range hosts {
		out = append(out, step{do: doSync, i: uint8(i)})
		if w.restarts < m.maxRestarts {
			out = append(out, step{do: doRestart, i: uint8(i)})
		}
		out = m.writeSteps(w, i, out)
	}
	return out
}

func (m *model) documentSteps(w *world, out []step) []step {
	if w.operatorDoc < maxDocument {
		out = append(out, step{do: doChangeDocument})
	}
	if w.store.doc < w.operatorDoc {
		out = append(out, step{do: doRewriteDocument})
	}
	return out
}

// writeSteps appends the conditional writes that a daemon may send.
func (m *model) writeSteps(w *world, i int, out []step) []step {
	d := &w.daemons[i]
	add := func(s step) {
		s.i = uint8(i)
		out = append(out, s)
		if !w.late.sent {
			s.late = true
			out = append(out, s)
		}
	}
	for j := range hosts {
		if j != i && m.mayDeclareLost(d, j) {
			add(step{do: doDeclareLost, n: uint8(j)})
		}
	}
	for s := range m.slices {
		if m.mayConfirm(d, s) {
			add(step{do: doConfirm, n: uint8(s)})
		}
		if m.mayTake(d, s) {
			add(step{do: doTake, n: uint8(s)})
		}
		if !m.mayMove(d, i, s) {
			continue
		}
		for j, r := range d.sessions {
			if j != i && r.rev != 0 && !r.lost {
				add(step{do: doMove, n: uint8(s), to: uint8(j)})
			}
		}
	}
	return out
}

// apply performs a step and returns what is wrong with the state after it.
func (m *model) apply(w *world, s step) string {
	docs, lives := documents(w)
	m.perform(w, s)
	m.forget(w)
	if problem := m.remember(w); problem != "" {
		return problem
	}
	for i := range w.daemons {
		if d := &w.daemons[i]; d.life == lives[i] && d.doc < docs[i] {
			return fmt.Sprintf("document of host %d goes back from version %d to %d", i, docs[i], d.doc)
		}
	}
	return ""
}

func documents(w *world) (docs, lives [hosts]uint8) {
	for i := range w.daemons {
		docs[i], lives[i] = w.daemons[i].doc, w.daemons[i].life
	}
	return docs, lives
}

func (m *model) perform(w *world, s step) {
	switch s.do {
	case doTick:
		m.tick(w)
	case doCopy:
		w.copies++
		w.copied = w.store
	case doRestore:
		w.restores++
		w.copies = 0
		w.era++
		w.store = w.copied
		m.seen.restores++
	case doLand:
		x := w.late
		w.late = write{}
		m.carryOut(w, x)
	case doChangeDocument:
		w.operatorDoc++
		w.store.doc = w.operatorDoc
	case doRewriteDocument:
		w.store.doc = w.operatorDoc
	default:
		m.performAt(w, s)
	}
}

// performAt performs a daemon's step.
func (m *model) performAt(w *world, s step) {
	i := int(s.i)
	d := &w.daemons[i]
	switch s.do {
	case doSync:
		m.sync(w, i)
	case doRestart:
		w.restarts++
		m.newLife(d)
	case doDeclareLost:
		r := d.sessions[s.n]
		m.send(w, i, write{session: true, index: s.n, ifRev: r.rev, era: d.era, life: r.life}, s.late)
	case doMove:
		d.released[s.n] = d.slices[s.n].epoch
		d.held[s.n].ttl, d.held[s.n].life = 0, 0
		m.assignTo(w, s, sessionOf(int(s.to), d.sessions[s.to].life))
	case doConfirm:
		m.seen.confirmed++
		m.assignTo(w, s, sessionOf(i, d.life))
	case doTake:
		if !m.inForce(d.slices[s.n], d) {
			m.seen.reassigned++
		}
		m.assignTo(w, s, sessionOf(i, d.life))
	}
}

func (m *model) assignTo(w *world, s step, owner sessionID) {
	if x, ok := m.assign(&w.daemons[s.i], int(s.n), owner); ok {
		m.send(w, int(s.i), x, s.late)
	}
}
