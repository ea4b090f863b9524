package document

import "time"

// Object names an object of the store.
type Object struct {
	Kind string
	Name string
}

// UpdateEvent is an event of an update: Loaded, LoadFailed, Saved,
// SaveRefused, SaveInDoubt or PauseOver.
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

// LoadFailed says that a Load told nothing.
type LoadFailed struct{}

// Saved says that the store took a Save.
type Saved struct{}

// SaveRefused says that the store refused a Save for its condition.
type SaveRefused struct{}

// SaveInDoubt says that a Save may have landed, or may land later.
type SaveInDoubt struct{}

// PauseOver says that a Pause has passed.
type PauseOver struct{}

func (Loaded) updateEvent()      {}
func (LoadFailed) updateEvent()  {}
func (Saved) updateEvent()       {}
func (SaveRefused) updateEvent() {}
func (SaveInDoubt) updateEvent() {}
func (PauseOver) updateEvent()   {}

// UpdateAction is what the caller of an update does next: Load, Save, Pause
// or Finish. It answers each but Finish with one event.
type UpdateAction interface{ updateAction() }

// Load reads an object.
type Load struct{ Object Object }

// Save writes an object on condition of its version in the store; 0 means
// that it must not exist.
type Save struct {
	Object     Object
	IfRevision uint64
	Value      []byte
}

// Pause waits.
type Pause struct{ For time.Duration }

// Finish ends the update.
type Finish struct{ Result UpdateResult }

func (Load) updateAction()   {}
func (Save) updateAction()   {}
func (Pause) updateAction()  {}
func (Finish) updateAction() {}
