package spread

import "sort"

// maxDeletions bounds the deletions of a kind that are remembered. A daemon
// whose revision is below the forgotten ones is sent a snapshot.
const maxDeletions = 4096

// kindState holds what is known of the objects of one kind.
type kindState struct {
	kind    Kind
	differ  Differ
	objects map[string]*entry
	// changes lists the versions of objects, in ascending order once
	// sortChanges has run. Replaced versions stay in it until then.
	changes []change
	sorted  bool
	// revision is the revision up to which every change of the kind is known.
	// It is the revision of a change, list or snapshot; a watch that returns no
	// change of the kind does not move it.
	revision uint64
	// watchedTo is the store's revision up to which this daemon itself has
	// read the store.
	watchedTo uint64
	// forgottenTo is an upper bound of the versions of deletions that are no
	// longer remembered, or that a list or a snapshot left out.
	forgottenTo uint64
	deletions   int
	// allowOlder turns off the check against older versions, for a test.
	allowOlder bool
}

// entry is the newest known version of an object, and the difference, if any,
// that leads to it from version deltaBase.
type entry struct {
	object    Object
	deltaBase uint64
	delta     []byte
}

type change struct {
	version uint64
	name    string
}

func newKindState(kind Kind, differ Differ) *kindState {
	return &kindState{kind: kind, differ: differ, objects: make(map[string]*entry)}
}

// knownTo returns the revision up to which every change is known, whether or
// not the kind changed at that revision.
func (s *kindState) knownTo() uint64 {
	return max(s.revision, s.watchedTo)
}

// newest returns the version of the newest change, or 0 if there is none.
func (s *kindState) newest() uint64 {
	s.sortChanges()
	if len(s.changes) == 0 {
		return 0
	}
	return s.changes[len(s.changes)-1].version
}

// markListed records that this daemon has all objects as of a revision of the
// store. Deletions before it are not known one by one, so revision and
// forgottenTo move up to it: a daemon that is behind is sent a snapshot.
func (s *kindState) markListed(revision uint64) {
	s.watchedTo = max(s.watchedTo, revision)
	s.revision = max(s.revision, revision)
	s.forgottenTo = max(s.forgottenTo, revision)
}

// putResult tells how a received version relates to the one held.
type putResult uint8

const (
	// putStale: the version held is as new or newer, or the object is known
	// to be deleted.
	putStale putResult = iota
	// putApplied: the version is now held.
	putApplied
	// putBaseMismatch: the version is a difference that can't be applied to
	// the version held, or a reference to a version that is not held.
	putBaseMismatch
)

// put stores a version if it is higher than the one held. An object that is not
// held is stored only if it is newer than knownTo: up to there every object is
// known, so an unknown one has been deleted.
func (s *kindState) put(o Object) putResult {
	held := s.objects[o.Name]
	if held == nil && o.Version <= s.knownTo() {
		return putStale
	}
	if held != nil && o.Version <= held.object.Version && !s.allowOlder {
		return putStale
	}
	if o.isReference() {
		return putBaseMismatch
	}
	e := &entry{object: o}
	if o.Base != 0 {
		if !s.applyDiff(e, held) {
			return putBaseMismatch
		}
	} else if held != nil && !o.Deleted && !held.object.Deleted {
		e.deltaBase = held.object.Version
		e.delta = s.differ.Diff(s.kind, held.object.Value, o.Value)
	}
	if held != nil && held.object.Deleted {
		s.deletions--
	}
	if o.Deleted {
		s.deletions++
	}
	s.objects[o.Name] = e
	s.appendChange(o)
	return putApplied
}

// applyDiff replaces the difference in e by the full value. It reports whether
// the held version is its base and the difference could be applied.
func (s *kindState) applyDiff(e, held *entry) bool {
	if held == nil || held.object.Deleted || held.object.Version != e.object.Base {
		return false
	}
	value, ok := s.differ.Apply(s.kind, held.object.Value, e.object.Value)
	if !ok {
		return false
	}
	e.deltaBase = e.object.Base
	e.delta = e.object.Value
	e.object.Base = 0
	e.object.Value = value
	return true
}

// appendChange appends a change. It has the list sorted and compacted on next use
// if it is out of order or has grown too long.
func (s *kindState) appendChange(o Object) {
	last := len(s.changes) - 1
	if last >= 0 && s.changes[last].version > o.Version {
		s.sorted = false
	}
	s.changes = append(s.changes, change{o.Version, o.Name})
	if len(s.changes) > 2*len(s.objects)+maxDeletions {
		s.sorted = false
	}
}

// sortChanges sorts the changes and drops those that are no longer the newest
// of their object. It forgets the oldest deletions if there are more than
// maxDeletions.
func (s *kindState) sortChanges() {
	if s.sorted {
		return
	}
	s.forgetDeletions()
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

// forgetDeletions drops the older half of the deletions up to the revision if
// there are more than maxDeletions.
func (s *kindState) forgetDeletions() {
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
		s.forgottenTo = max(s.forgottenTo, o.Version)
	}
}

// changesSince returns the changes after a revision, oldest first, up to about
// limit bytes, and the revision up to which they are complete. Deletions that
// were found by a list of the store share one version and are never split.
func (s *kindState) changesSince(after uint64, limit int, whole bool) ([]Object, uint64) {
	s.sortChanges()
	from := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].version > after })
	var items []Object
	size := 0
	for _, c := range s.changes[from:] {
		e := s.objects[c.name]
		if e == nil || e.object.Version != c.version {
			continue
		}
		o := e.objectSince(after, whole)
		if size > 0 && size+o.approxBytes() > limit && o.Version > items[len(items)-1].Version {
			return items, min(items[len(items)-1].Version, s.revision)
		}
		size += o.approxBytes()
		items = append(items, o)
	}
	return items, s.revision
}

// objectSince returns the object as a difference if a daemon that knows every
// change up to the revision holds its base. With whole set, it returns the full
// value.
func (e *entry) objectSince(after uint64, whole bool) Object {
	o := e.object
	if whole || e.delta == nil || after < e.deltaBase {
		return o
	}
	o.Base = e.deltaBase
	o.Value = e.delta
	return o
}

// objectOverhead is the approximate size in bytes of an object in a message
// without its name and value.
const objectOverhead = 24

func (o Object) approxBytes() int {
	return len(o.Name) + len(o.Value) + objectOverhead
}

// snapshotPage returns a part of a snapshot in answer to a request: the objects with
// names after its cursor, up to about limit bytes, and the last name, which is empty if
// these are the last objects. An object that the requester holds, because it knows every
// change up to the object's version, is there as a reference, unless it asks for full
// values.
func (s *kindState) snapshotPage(m *ChangesRequest, limit int) ([]Object, string) {
	var names []string
	for name, e := range s.objects {
		if name > m.Cursor && !e.object.Deleted {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	var items []Object
	size := 0
	for _, name := range names {
		o := s.objects[name].object.snapshotItem(m)
		if size > 0 && size+o.approxBytes() > limit {
			return items, items[len(items)-1].Name
		}
		size += o.approxBytes()
		items = append(items, o)
	}
	return items, ""
}

// snapshotItem returns the object as a part of a snapshot in answer to a request.
func (o Object) snapshotItem(m *ChangesRequest) Object {
	if !m.Whole && o.Version <= m.After {
		return o.reference()
	}
	return o
}

// markWatched records that this daemon has every change up to a revision of the
// store, and moves revision to the last of them. It reports whether revision
// has risen.
func (s *kindState) markWatched(revision uint64) bool {
	s.watchedTo = max(s.watchedTo, revision)
	s.sortChanges()
	next := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].version > s.watchedTo })
	if next == 0 || s.changes[next-1].version <= s.revision {
		return false
	}
	s.revision = s.changes[next-1].version
	return true
}

// missingFrom returns deletions, with the given revision as version, of the
// known objects with names above first and up to last that are missing from
// items, a part of a snapshot as of that revision. An empty last means no upper
// bound.
func (s *kindState) missingFrom(first, last string, revision uint64, items []Object) []Object {
	listed := make(map[string]bool, len(items))
	for _, o := range items {
		listed[o.Name] = true
	}
	var deletions []Object
	for name, e := range s.objects {
		inside := name > first && (last == "" || name <= last)
		if inside && !listed[name] && !e.object.Deleted && e.object.Version <= revision {
			deletions = append(deletions, Object{Name: name, Version: revision, Deleted: true})
		}
	}
	sort.Slice(deletions, func(i, j int) bool { return deletions[i].Name < deletions[j].Name })
	return deletions
}
