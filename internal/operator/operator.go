// Package operator is the client of the command line for the store and the
// daemons. The decisions are made in packages document, outcome and alarm.
package operator

import (
	"encoding/json"
	"errors"
	"sort"
	"strings"
	"time"

	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/objectstore"
	"github.com/rhubarbring/rhubarbring/internal/storeclient"
	"github.com/rhubarbring/rhubarbring/result"
)

// listPageSize is the number of objects that one list call reads.
const listPageSize = 200

// Client calls the store and the daemons. It is safe for concurrent use.
type Client struct {
	store *storeclient.Client
	http  *httpClient
}

// New returns a client for the store at an address, "IP:port". Each call ends
// within timeout.
func New(store string, timeout time.Duration) *Client {
	return &Client{store: storeclient.New(store, timeout), http: newHTTPClient(timeout)}
}

// Document returns the stored document of an environment; nil if there is
// none.
func (c *Client) Document(environment string) (*document.Stored, error) {
	object, err := c.store.Get(document.Kind, environment)
	if isCode(err, result.StoreNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return document.DecodeStored(object.Value)
}

// History returns the replaced documents of an environment, oldest first.
func (c *Client) History(environment string) ([]document.Stored, error) {
	var all []document.Stored
	err := forEachObject(c.store, document.HistoryKind, func(object objectstore.Object) error {
		if !strings.HasPrefix(object.Name, environment+".") {
			return nil
		}
		stored, err := document.DecodeStored(object.Value)
		if err == nil {
			all = append(all, *stored)
		}
		return err
	})
	sort.Slice(all, func(i, j int) bool { return all[i].Version < all[j].Version })
	return all, err
}

// InForce returns what each availability zone of an environment had in force
// when its relay last wrote it.
func (c *Client) InForce(environment string) (map[host.Zone]document.InForce, error) {
	zones := make(map[host.Zone]document.InForce)
	err := forEachObject(c.store, document.InForceKind, func(object objectstore.Object) error {
		zone, ok := strings.CutPrefix(object.Name, environment+".")
		if !ok {
			return nil
		}
		var f document.InForce
		err := json.Unmarshal(object.Value, &f)
		zones[host.Zone(zone)] = f
		return err
	})
	return zones, err
}

// Update runs a change of a document until it has a verdict.
func (c *Client) Update(cfg document.UpdateConfig) document.UpdateResult {
	u := document.NewUpdate(cfg)
	action := u.Start()
	for {
		switch a := action.(type) {
		case document.Finish:
			return a.Result
		case document.Load:
			action = u.Step(c.load(a))
		case document.Save:
			action = u.Step(c.save(a))
		case document.Pause:
			time.Sleep(a.For)
			action = u.Step(document.PauseOver{})
		}
	}
}

func (c *Client) load(a document.Load) document.UpdateEvent {
	object, err := c.store.Get(a.Object.Kind, a.Object.Name)
	if isCode(err, result.StoreNotFound) {
		return document.Loaded{Object: a.Object}
	}
	if err != nil {
		return document.LoadFailed{}
	}
	return document.Loaded{Object: a.Object, Revision: object.Version, Value: object.Value}
}

// save reports every failure but a refused condition as SaveUnconfirmed: a
// store that answers that it is unavailable may still apply the write later.
func (c *Client) save(a document.Save) document.UpdateEvent {
	_, err := c.store.Put(a.Object.Kind, a.Object.Name, a.IfRevision, a.Value)
	if err == nil {
		return document.Saved{}
	}
	if isCode(err, result.StoreConflict) {
		return document.SaveRefused{}
	}
	return document.SaveUnconfirmed{}
}

// forEachObject calls a function for each object of a kind, in the order of
// their names, until the function returns an error.
func forEachObject(store *storeclient.Client, kind string, do func(objectstore.Object) error) error {
	after := ""
	for {
		page, err := store.List(kind, after, listPageSize)
		if err != nil {
			return err
		}
		for _, object := range page.Items {
			if err := do(object); err != nil {
				return err
			}
		}
		if page.Next == "" {
			return nil
		}
		after = page.Next
	}
}

func isCode(err error, code result.Code) bool {
	return errors.Is(err, &result.Error{Code: code})
}
