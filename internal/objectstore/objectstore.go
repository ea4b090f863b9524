// Package objectstore defines the interface to the platform's object store that
// the daemon and the command line use: objects with a kind and a version,
// conditional writes and watches. Package storeclient implements it over the
// built-in protocol, package platform over that of the users' platform.
package objectstore

import (
	"errors"
	"time"

	"github.com/rhubarbring/rhubarbring/result"
)

// Object is one version of an object in the store, or the deletion of one.
type Object struct {
	Kind    string `json:"-"`
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
	Value   []byte `json:"value"`
}

// Page is one page of the result of List. Revision is the store's revision at
// which it holds; Next is the name to list after for the next page, empty on the
// last one.
type Page struct {
	Items    []Object `json:"items"`
	Revision uint64   `json:"revision"`
	Next     string   `json:"next"`
}

// Changes is the result of Watch. Revision is the revision from which to watch
// next.
type Changes struct {
	Events   []Object `json:"events"`
	Revision uint64   `json:"revision"`
}

// Store reads and writes objects. It never retries a call: a write without a
// response is reported as in doubt, and the code that made the call decides
// what to do. It is safe for concurrent use. Errors are *result.Error.
type Store interface {
	// Get reads an object. It fails with StoreNotFound or StoreUnavailable.
	Get(kind, name string) (Object, error)
	// Put writes an object if its version is still ifVersion; 0 means that the
	// object must not exist. It returns the new version. With StoreConflict it
	// returns the current version if the store reports it. StoreDoubt means
	// that the write may have been applied or may be applied later;
	// StoreUnavailable means that it never will be.
	Put(kind, name string, ifVersion uint64, value []byte) (uint64, error)
	// Delete removes an object if its version is still ifVersion. It fails
	// like Put, or with StoreNotFound.
	Delete(kind, name string, ifVersion uint64) error
	// List returns a page of the objects of a kind whose names sort after the
	// given one. The limit is the wanted page size, which an implementation may
	// ignore.
	List(kind, after string, limit int) (Page, error)
	// Watch waits up to wait for changes of a kind after a revision. It
	// fails with StoreNotFound if the revision is too old; the objects then
	// have to be listed again.
	Watch(kind string, revision uint64, wait time.Duration) (Changes, error)
}

// CodeOf returns the result code of an error of a Store, or OK for nil. An
// error that is not a *result.Error counts as StoreDoubt.
func CodeOf(err error) result.Code {
	if err == nil {
		return result.OK
	}
	var e *result.Error
	if errors.As(err, &e) {
		return e.Code
	}
	return result.StoreDoubt
}

// IsNotFound reports whether an error of a call other than Watch means that the
// object does not exist.
func IsNotFound(err error) bool {
	return CodeOf(err) == result.StoreNotFound
}

// IsRevisionTooOld reports whether an error of Watch means that the revision is
// too old, so that the objects have to be listed again.
func IsRevisionTooOld(err error) bool {
	return CodeOf(err) == result.StoreNotFound
}
