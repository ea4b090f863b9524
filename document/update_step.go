package document

import "time"

// Object names an object of the store.
type Object struct {
	Kind string
	Name string
}

// UpdateEvent is an event of an update: Loaded, LoadFailed, Saved,
// SaveRefused, SaveUnconfirmed or PauseOver.
type UpdateEvent interface{ updateEvent() }

// Loaded answers a Load.
type Loaded struct {
	// Object is what was read.
	Object Object
	// Revision is the object's version in the store; 0 if there is none.
	Revision uint64
	// Value is the object's value.
	Value []byte
}

// LoadFailed says that a Load failed, so that nothing is known of the object.
type LoadFailed struct{}

// Saved says that the store accepted a Save.
type Saved struct{}

// SaveRefused says that the store refused a Save because its condition didn't
// hold.
type SaveRefused struct{}

// SaveUnconfirmed says that a Save may have been applied or may still be applied.
type SaveUnconfirmed struct{}

// PauseOver says that a Pause has passed.
type PauseOver struct{}

func (Loaded) updateEvent()          {}
func (LoadFailed) updateEvent()      {}
func (Saved) updateEvent()           {}
func (SaveRefused) updateEvent()     {}
func (SaveUnconfirmed) updateEvent() {}
func (PauseOver) updateEvent()       {}

// UpdateAction is what the caller of an update does next: Load, Save, Pause
// or Finish. It answers each but Finish with one event.
type UpdateAction interface{ updateAction() }

// Load reads an object.
type Load struct{ Object Object }

// Save writes an object if its version in the store is IfRevision; 0 means that
// it must not exist.
type Save struct {
	Object     Object
	IfRevision uint64
	Value      []byte
}

// Pause waits for the given time before PauseOver is sent.
type Pause struct{ For time.Duration }

// Finish ends the update.
type Finish struct{ Result UpdateResult }

func (Load) updateAction()   {}
func (Save) updateAction()   {}
func (Pause) updateAction()  {}
func (Finish) updateAction() {}
