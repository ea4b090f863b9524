package operator

import (
	"encoding/json"

	"github.com/rhubarbring/rhubarbring/alarm"
	"github.com/rhubarbring/rhubarbring/internal/objectstore"
	"github.com/rhubarbring/rhubarbring/internal/storeclient"
	"github.com/rhubarbring/rhubarbring/outcome"
	"github.com/rhubarbring/rhubarbring/result"
)

// writeTries bounds the tries of a write that meets another's or is in doubt.
const writeTries = 5

// Batches returns the stored batches of outcomes at risk, by name.
func (o *Operator) Batches(environment string) ([]outcome.Batch, error) {
	var all []outcome.Batch
	err := each(o.store.Scoped(environment), outcome.Kind, func(object objectstore.Object) error {
		b, err := outcome.Decode(object.Value)
		if err == nil {
			all = append(all, *b)
		}
		return err
	})
	return all, err
}

// Find returns the batches that hold an outcome with the request's id. Two
// daemons may have met the same request.
func (o *Operator) Find(environment, id string) ([]outcome.Batch, error) {
	batches, err := o.Batches(environment)
	if err != nil {
		return nil, err
	}
	var found []outcome.Batch
	for _, b := range batches {
		for _, one := range b.Outcomes {
			if one.ID == id {
				found = append(found, b)
				break
			}
		}
	}
	if len(found) == 0 {
		return nil, &result.Error{Code: result.StoreNotFound, Field: id, Detail: "no outcome at risk has this id", Remedy: "list them: rhubarb outcomes list; those not yet saved stand in rhubarb status"}
	}
	return found, nil
}

// Settle settles the outcome in every batch that holds it unsettled.
func (o *Operator) Settle(environment, id string, s outcome.Settlement) error {
	batches, err := o.Find(environment, id)
	if err != nil {
		return err
	}
	for _, b := range batches {
		if err := settleIn(o.store.Scoped(environment), b.Name, id, s); err != nil {
			return err
		}
	}
	return nil
}

// settleIn writes the settlement. A write in doubt shows at the next read:
// the outcome is then settled by this settlement.
func settleIn(store *storeclient.Client, name, id string, s outcome.Settlement) error {
	return rewrite(store, outcome.Kind, name, func(value []byte) ([]byte, error) {
		b, err := outcome.Decode(value)
		if err != nil {
			return nil, err
		}
		if settledBy(b, id, s) {
			return nil, nil
		}
		if err := b.Settle(id, s); err != nil {
			return nil, err
		}
		return b.Encode()
	})
}

func settledBy(b *outcome.Batch, id string, s outcome.Settlement) bool {
	for _, one := range b.Outcomes {
		if one.ID == id && one.Settled != nil && *one.Settled == s {
			return true
		}
	}
	return false
}

// rewrite changes an object by conditional write until the change stands. The
// function returns nil if nothing is left to change.
func rewrite(store *storeclient.Client, kind, name string, change func([]byte) ([]byte, error)) error {
	var last error
	for range writeTries {
		object, err := store.Get(kind, name)
		if err != nil {
			return err
		}
		value, err := change(object.Value)
		if err != nil || value == nil {
			return err
		}
		if _, last = store.Put(kind, name, object.Version, value); last == nil {
			return nil
		}
	}
	return last
}

// Alarms returns the stored alarms that nobody has acknowledged, by ID, or
// all of them.
func (o *Operator) Alarms(environment string, all bool) ([]alarm.Record, error) {
	var list []alarm.Record
	err := each(o.store.Scoped(environment), alarm.StoreKind, func(object objectstore.Object) error {
		var r alarm.Record
		if err := json.Unmarshal(object.Value, &r); err != nil {
			return err
		}
		if all || r.Alarm.Acknowledged == nil {
			list = append(list, r)
		}
		return nil
	})
	return list, err
}

// Acknowledge notes that a person took notice of an alarm.
func (o *Operator) Acknowledge(environment, id string, a alarm.Acknowledgement) error {
	return rewrite(o.store.Scoped(environment), alarm.StoreKind, id, func(value []byte) ([]byte, error) {
		var r alarm.Record
		if err := json.Unmarshal(value, &r); err != nil {
			return nil, err
		}
		if r.Alarm.Acknowledged != nil {
			return nil, nil
		}
		r.Alarm.Acknowledged = &a
		return json.Marshal(r)
	})
}
