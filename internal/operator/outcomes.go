package operator

import (
	"encoding/json"

	"github.com/rhubarbring/rhubarbring/alarm"
	"github.com/rhubarbring/rhubarbring/internal/objectstore"
	"github.com/rhubarbring/rhubarbring/internal/storeclient"
	"github.com/rhubarbring/rhubarbring/outcome"
	"github.com/rhubarbring/rhubarbring/result"
)

// maxWriteAttempts limits the attempts at a write that conflicts with another or
// is unconfirmed.
const maxWriteAttempts = 5

// OutcomeBatches returns the stored batches of outcomes at risk, by name.
func (c *Client) OutcomeBatches(environment string) ([]outcome.Batch, error) {
	var all []outcome.Batch
	err := forEachObject(c.store.ForEnvironment(environment), outcome.Kind, func(object objectstore.Object) error {
		b, err := outcome.Decode(object.Value)
		if err == nil {
			all = append(all, *b)
		}
		return err
	})
	return all, err
}

// FindOutcome returns the batches that hold an outcome with the request's id.
// There may be several, as two daemons may have recorded the same request.
func (c *Client) FindOutcome(environment, id string) ([]outcome.Batch, error) {
	batches, err := c.OutcomeBatches(environment)
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

// SettleOutcome settles the outcome in every batch that holds it. It stops with
// StoreConflict at a batch in which the outcome has another settlement, because
// a settled outcome stays as it is.
func (c *Client) SettleOutcome(environment, id string, s outcome.Settlement) error {
	batches, err := c.FindOutcome(environment, id)
	if err != nil {
		return err
	}
	for _, b := range batches {
		if err := settleInBatch(c.store.ForEnvironment(environment), b.Name, id, s); err != nil {
			return err
		}
	}
	return nil
}

// settleInBatch writes the settlement. After an unconfirmed write it reads the
// batch again, and is done if the outcome has this settlement.
func settleInBatch(store *storeclient.Client, name, id string, s outcome.Settlement) error {
	return updateObject(store, outcome.Kind, name, func(value []byte) ([]byte, error) {
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

// updateObject changes an object by conditional writes, and reads it again after
// a failed one. The function returns nil if nothing is left to change.
func updateObject(store *storeclient.Client, kind, name string, change func([]byte) ([]byte, error)) error {
	var last error
	for range maxWriteAttempts {
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

// Alarms returns the stored alarms by ID: all of them if all is set, otherwise
// those that nobody has acknowledged.
func (c *Client) Alarms(environment string, all bool) ([]alarm.Record, error) {
	var list []alarm.Record
	err := forEachObject(c.store.ForEnvironment(environment), alarm.StoreKind, func(object objectstore.Object) error {
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

// AcknowledgeAlarm records that a person took notice of an alarm. An alarm that
// is acknowledged already stays as it is.
func (c *Client) AcknowledgeAlarm(environment, id string, a alarm.Acknowledgement) error {
	return updateObject(c.store.ForEnvironment(environment), alarm.StoreKind, id, func(value []byte) ([]byte, error) {
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
