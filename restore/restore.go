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

import (
	"cmp"
	"errors"
)

// Era counts the restores of the store. Every answer of the store carries it.
type Era uint16

// Version identifies a version of a stored object.
type Version struct {
	// Era is the era of the answer that showed the version.
	Era Era
	// Revision is the store's revision of the object.
	Revision uint64
}

// revisionBits is the size of a revision in a version's number; the era stands
// above it.
const revisionBits = 48

// maxRevision is the highest revision that a version's number has room for.
const maxRevision = 1<<revisionBits - 1

// ErrRevisionTooHigh means that a revision does not fit a version's number.
var ErrRevisionTooHigh = errors.New("the revision exceeds 48 bits")

// Number returns the version as one number that orders versions as Compare does.
// In era 0 it is the revision.
func (v Version) Number() (uint64, error) {
	if v.Revision > maxRevision {
		return 0, ErrRevisionTooHigh
	}
	return uint64(v.Era)<<revisionBits | v.Revision, nil
}

// VersionOf returns the version that has a number.
func VersionOf(number uint64) Version {
	return Version{Era: Era(number >> revisionBits), Revision: number & maxRevision}
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
