package grant

import "github.com/rhubarbring/rhubarbring/key"

// Epochs records which epochs of slices were offered to the instances of a target
// in the life of a session. An epoch is offered to one instance only, since a
// target's process that takes over from another must hold its slices at higher
// epochs. The zero Epochs is empty. It must be used by one goroutine.
type Epochs struct {
	instance uint64 // Number of the present instance, in the order of their start.
	offered  map[key.Slice]offer
}

// offer is the newest epoch of a slice that was offered, and to which instance.
type offer struct {
	epoch    uint64
	instance uint64
}

// Permit lets the present instance of a target be granted a slice at an epoch. Only
// Epochs.Permit returns one that is valid.
type Permit struct {
	slice key.Slice
	epoch uint64
}

// Replace records that another instance of the target has replaced the present one.
func (e *Epochs) Replace() {
	e.instance++
}

// Permit offers a slice to the present instance. It returns false if an earlier
// instance was offered the slice at this epoch, or any instance at a higher one.
func (e *Epochs) Permit(s key.Slice, epoch uint64) (Permit, bool) {
	last, known := e.offered[s]
	if known && (epoch < last.epoch || epoch == last.epoch && last.instance != e.instance) {
		return Permit{}, false
	}
	if e.offered == nil {
		e.offered = make(map[key.Slice]offer)
	}
	e.offered[s] = offer{epoch: epoch, instance: e.instance}
	return Permit{slice: s, epoch: epoch}, true
}
