package spread

import "sort"

// maxDeletions bounds the deletions of a kind that are remembered. A daemon
// that is behind those forgotten gets a snapshot.
const maxDeletions = 4096

// shelf holds what is known of one kind.
type shelf struct {
	kind    Kind
	differ  Differ
	objects map[string]*entry
	// changes lists the versions of objects by version once order has
	// sorted it. An object's older versions stay in it until then.
	changes []change
	sorted  bool
	// revision is that of a change up to which every change is known. It
	// stands still while only other kinds change.
	revision uint64
	// watched is the store's revision up to which this daemon has watched
	// itself.
	watched uint64
	// forgotten bounds the versions of deletions that are no longer
	// remembered, or that a list or a snapshot left out.
	forgotten uint64
	deletions int
	// anyVersion drops the guard against older versions, for a test.
	anyVersion bool
}

// entry is the newest known version of an object, and the difference that
// leads to it from the one before.
type entry struct {
	object Object
	base   uint64
	delta  []byte
}

type change struct {
	version uint64
	name    string
}

func newShelf(kind Kind, differ Differ) *shelf {
	return &shelf{kind: kind, differ: differ, objects: make(map[string]*entry)}
}

// known returns the revision up to which every change is known, whether or
// not the kind has changed at it.
func (s *shelf) known() uint64 {
	return max(s.revision, s.watched)
}

// listedTo notes that this daemon has all objects as of a revision of the
// store. Deletions before it are not known one by one, so the shelf's revision
// moves to it: whoever is behind gets a snapshot.
func (s *shelf) listedTo(revision uint64) {
	s.watched = max(s.watched, revision)
	s.revision = max(s.revision, revision)
	s.forgotten = max(s.forgotten, revision)
}

// fit says how a received version relates to what is held.
type fit uint8

const (
	// stale: the version held is as new or newer, or the object is known
	// to be deleted.
	stale fit = iota
	// taken: the version is now held.
	taken
	// misfit: the version is a difference from one that is not held.
	misfit
)

// put takes a version if it is higher than the one held. An object that is
// not held is taken only if it is newer than the revision: up to that, every
// object is known, so this one has been deleted.
func (s *shelf) put(o Object) fit {
	held := s.objects[o.Name]
	if held == nil && o.Version <= s.known() {
		return stale
	}
	if held != nil && o.Version <= held.object.Version && !s.anyVersion {
		return stale
	}
	e := &entry{object: o}
	if o.Base != 0 {
		if !s.resolve(e, held) {
			return misfit
		}
	} else if held != nil && !o.Deleted && !held.object.Deleted {
		e.base = held.object.Version
		e.delta = s.differ.Diff(s.kind, held.object.Value, o.Value)
	}
	if held != nil && held.object.Deleted {
		s.deletions--
	}
	if o.Deleted {
		s.deletions++
	}
	s.objects[o.Name] = e
	s.log(o)
	return taken
}

// resolve makes a difference whole.
func (s *shelf) resolve(e, held *entry) bool {
	if held == nil || held.object.Deleted || held.object.Version != e.object.Base {
		return false
	}
	value, ok := s.differ.Apply(s.kind, held.object.Value, e.object.Value)
	if !ok {
		return false
	}
	e.base = e.object.Base
	e.delta = e.object.Value
	e.object.Base = 0
	e.object.Value = value
	return true
}

func (s *shelf) log(o Object) {
	last := len(s.changes) - 1
	if last >= 0 && s.changes[last].version > o.Version {
		s.sorted = false
	}
	s.changes = append(s.changes, change{o.Version, o.Name})
	if len(s.changes) > 2*len(s.objects)+maxDeletions {
		s.sorted = false
	}
}

// order sorts the changes and drops those that are no longer the newest of
// their object. It forgets the oldest deletions when there are too many.
func (s *shelf) order() {
	if s.sorted {
		return
	}
	s.forget()
	kept := s.changes[:0]
	for _, c := range s.changes {
		if e := s.objects[c.name]; e != nil && e.object.Version == c.version {
			kept = append(kept, c)
		}
	}
	s.changes = kept
	sort.Slice(s.changes, func(i, j int) bool { return s.changes[i].version < s.changes[j].version })
	s.sorted = true
}

func (s *shelf) forget() {
	if s.deletions <= maxDeletions {
		return
	}
	var deleted []Object
	for _, e := range s.objects {
		if e.object.Deleted && e.object.Version <= s.revision {
			deleted = append(deleted, e.object)
		}
	}
	sort.Slice(deleted, func(i, j int) bool { return deleted[i].Version < deleted[j].Version })
	for _, o := range deleted[:len(deleted)/2] {
		delete(s.objects, o.Name)
		s.deletions--
		s.forgotten = max(s.forgotten, o.Version)
	}
}

// since returns the changes after a revision, oldest first, until limit bytes
// are reached, and the revision up to which they are complete. Deletions that
// a list of the store revealed have one version in common, and stay together.
func (s *shelf) since(after uint64, limit int, whole bool) ([]Object, uint64) {
	s.order()
	from := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].version > after })
	var items []Object
	size := 0
	for _, c := range s.changes[from:] {
		e := s.objects[c.name]
		if e == nil || e.object.Version != c.version {
			continue
		}
		o := e.since(after, whole)
		if size > 0 && size+o.bytes() > limit && o.Version > items[len(items)-1].Version {
			return items, min(items[len(items)-1].Version, s.revision)
		}
		size += o.bytes()
		items = append(items, o)
	}
	return items, s.revision
}

// since returns the object as a difference if whoever knows every change up
// to the revision holds its base.
func (e *entry) since(after uint64, whole bool) Object {
	o := e.object
	if whole || e.delta == nil || after < e.base {
		return o
	}
	o.Base = e.base
	o.Value = e.delta
	return o
}

// objectOverhead is about what an object takes in a message beside its name
// and value.
const objectOverhead = 24

func (o Object) bytes() int {
	return len(o.Name) + len(o.Value) + objectOverhead
}

// page returns a part of a snapshot: the objects with names after cursor,
// until limit bytes are reached, and the last name, empty at the end.
func (s *shelf) page(cursor string, limit int) ([]Object, string) {
	var names []string
	for name, e := range s.objects {
		if name > cursor && !e.object.Deleted {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	var items []Object
	size := 0
	for _, name := range names {
		o := s.objects[name].object
		if size > 0 && size+o.bytes() > limit {
			return items, items[len(items)-1].Name
		}
		size += o.bytes()
		items = append(items, o)
	}
	return items, ""
}

// watchedTo notes that this daemon has every change up to a revision of the
// store, and moves the shelf's revision to the last of them.
func (s *shelf) watchedTo(revision uint64) bool {
	s.watched = max(s.watched, revision)
	s.order()
	next := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].version > s.watched })
	if next == 0 || s.changes[next-1].version <= s.revision {
		return false
	}
	s.revision = s.changes[next-1].version
	return true
}

// missing returns deletions, as of a revision, of the objects that a snapshot
// complete up to it should hold between two names but doesn't.
func (s *shelf) missing(first, last string, revision uint64, items []Object) []Object {
	listed := make(map[string]bool, len(items))
	for _, o := range items {
		listed[o.Name] = true
	}
	var gone []Object
	for name, e := range s.objects {
		inside := name > first && (last == "" || name <= last)
		if inside && !listed[name] && !e.object.Deleted && e.object.Version <= revision {
			gone = append(gone, Object{Name: name, Version: revision, Deleted: true})
		}
	}
	sort.Slice(gone, func(i, j int) bool { return gone[i].Name < gone[j].Name })
	return gone
}
