// Package objectstore describes the platform's object store as the daemon and
// the command line use it: typed objects with versions, conditional writes and
// watches. Package storeclient implements it over the project's own protocol,
// package platform over that of the users' platform.
package objectstore

import (
	"errors"
	"time"

	"github.com/rhubarbring/rhubarbring/result"
)

// Object is an object of the store.
type Object struct {
	Kind    string `json:"-"`
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
	Value   []byte `json:"value"`
}

// Page is one page of a list.
type Page struct {
	Items    []Object `json:"items"`
	Revision uint64   `json:"revision"`
	Next     string   `json:"next"`
}

// Changes is the answer to a watch.
type Changes struct {
	Events   []Object `json:"events"`
	Revision uint64   `json:"revision"`
}

// Store reads and writes objects. It never repeats a call by itself: a write
// whose answer was lost is reported as in doubt, and the caller decides. It is
// safe for concurrent use. Errors are *result.Error.
type Store interface {
	// Get reads an object. Its errors are StoreNotFound and StoreUnavailable.
	Get(kind, name string) (Object, error)
	// Put writes an object if its version is still ifVersion; 0 means that it
	// must not exist. It returns the new version. With StoreConflict it returns
	// the current version if the store says it. StoreDoubt means that the write
	// may have landed or may land later; StoreUnavailable means that it never
	// will.
	Put(kind, name string, ifVersion uint64, value []byte) (uint64, error)
	// Delete removes an object if its version is still ifVersion. Its errors
	// are those of Put, and StoreNotFound.
	Delete(kind, name string, ifVersion uint64) error
	// List returns about limit objects of a kind whose names follow after.
	List(kind, after string, limit int) (Page, error)
	// Watch waits up to wait for changes of a kind after a revision. It
	// returns StoreNotFound if the revision is too old: list again.
	Watch(kind string, revision uint64, wait time.Duration) (Changes, error)
}

// CodeOf returns the result code of an error of a Store, or OK for nil.
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

// IsNotFound reports whether an error says that there is no such object.
func IsNotFound(err error) bool {
	return CodeOf(err) == result.StoreNotFound
}

// IsTooOld reports whether an error of Watch says that the revision is too
// old: list again.
func IsTooOld(err error) bool {
	return CodeOf(err) == result.StoreNotFound
}
