package operator

import (
	"encoding/json"
	"strings"

	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/evacuation"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/objectstore"
	"github.com/rhubarbring/rhubarbring/result"
)

// Evacuation is an evacuated zone.
type Evacuation struct {
	Zone host.Zone `json:"zone"`
	evacuation.Record
}

// Evacuations returns the evacuated zones of an environment in order.
func (c *Client) Evacuations(environment string) ([]Evacuation, error) {
	all := []Evacuation{}
	err := forEachObject(c.store.ForEnvironment(environment), evacuation.ObjectKind, func(object objectstore.Object) error {
		e := Evacuation{Zone: host.Zone(object.Name)}
		_ = json.Unmarshal(object.Value, &e.Record) // The name alone evacuates the zone.
		all = append(all, e)
		return nil
	})
	return all, err
}

// Evacuate evacuates a zone of the environment's document. The store's answer is the
// confirmation; a zone that is evacuated already stays so.
func (c *Client) Evacuate(environment string, zone host.Zone, r evacuation.Record) error {
	if err := c.checkZone(environment, zone); err != nil {
		return err
	}
	value, err := json.Marshal(r)
	if err != nil {
		return err
	}
	_, err = c.store.ForEnvironment(environment).Put(evacuation.ObjectKind, string(zone), 0, value)
	if isCode(err, result.StoreConflict) {
		return nil
	}
	return err
}

// EndEvacuation ends the evacuation of a zone, also of one that is in no document any
// more.
func (c *Client) EndEvacuation(environment string, zone host.Zone) error {
	store := c.store.ForEnvironment(environment)
	object, err := store.Get(evacuation.ObjectKind, string(zone))
	if err == nil {
		err = store.Delete(evacuation.ObjectKind, string(zone), object.Version)
	}
	if isCode(err, result.StoreNotFound) {
		return &result.Error{Code: result.StoreNotFound, Field: string(zone), Detail: "the zone is not evacuated", Remedy: "list the evacuated zones: rhubarb evacuate --status"}
	}
	return err
}

// checkZone returns an error if a zone is not in the environment's document.
func (c *Client) checkZone(environment string, zone host.Zone) error {
	stored, err := c.Document(environment)
	if err != nil {
		return err
	}
	if stored == nil {
		return &result.Error{Code: result.NotConfigured, Field: environment, Detail: "the environment has no document", Remedy: "apply one first"}
	}
	doc, err := stored.Document()
	if err != nil {
		return err
	}
	if _, ok := doc.RegionOf(zone); ok {
		return nil
	}
	return &result.Error{Code: result.BadRequest, Field: string(zone), Detail: "the document has no such availability zone", Remedy: "name one of " + strings.Join(zonesOf(doc), ", ")}
}

func zonesOf(doc *document.Document) []string {
	var names []string
	for _, r := range doc.Regions {
		for _, z := range r.Zones {
			names = append(names, string(z))
		}
	}
	return names
}
