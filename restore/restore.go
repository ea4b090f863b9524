// Package restore holds the rules for a store that comes back from an older
// copy: how versions and epochs of different eras compare, and how long an entry
// of an earlier era must be left alone.
//
// The store numbers its eras. After a restore the era is higher by one, what was
// written since the copy is gone, and revisions are given out again, so that a
// revision means something only together with its era. The rules, and the checks
// that hold them, are in docs/design/0008-restored-store.md. The package does no
// input or output.
package restore

import "cmp"

// Era counts the restores of the store. Every answer of the store carries it.
type Era uint16

// Version identifies a version of a stored object.
type Version struct {
	// Era is the era of the answer that showed the version.
	Era Era
	// Revision is the store's revision of the object.
	Revision uint64
}

// Compare returns -1 if v is the older version, +1 if it is the newer one, and
// 0 if both are the same. It tells which of two versions the store held last. It
// doesn't order the contents: a restore brings older ones back.
func (v Version) Compare(u Version) int {
	return cmp.Or(cmp.Compare(v.Era, u.Era), cmp.Compare(v.Revision, u.Revision))
}

// Conditions reports whether a write may be conditional on the version, for a
// daemon that has seen the era seen.
func (v Version) Conditions(seen Era) bool {
	return v.Era == seen && v.Revision != 0
}

// Applied reports whether an answer of the era answer that reports a conditional
// write as done may be relied on. An answer of a later era may mean that the
// condition matched a revision that was given out again.
func (v Version) Applied(answer Era) bool {
	return v.Era == answer
}
