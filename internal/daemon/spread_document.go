package daemon

import (
	"cmp"
	"time"

	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/internal/objectstore"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/spread"
)

const (
	// documentWait is how long one watch of the document blocks at the store.
	documentWait = 25 * time.Second
	// documentRetry is the pause after a failed watch.
	documentRetry = time.Second
	// largeZone is the number of members of a zone above which each watches the document
	// by itself. In smaller ones two readers bring it in time, and the links between
	// regions carry it twice for each zone instead of once for each daemon.
	largeZone = 32
)

// documentSeen is the document as this daemon read it directly from the store.
type documentSeen struct{ object objectstore.Object }

func (w documentSeen) handle(s *spreadLoop, _ mono.Time) {
	o := spread.Object{Name: w.object.Name, Version: w.object.Version, Value: w.object.Value}
	if err := s.adoptDocument(o, 0); err != nil {
		s.d.log.Event(event.BadObject, "object", document.Kind+"/"+o.Name, "cause", err.Error())
	}
}

// watchDocument watches the document in the store until the daemon ends, if the
// settings ask for it and the zone is large: two readers of each zone
// (spread.Config.DocumentReaders) do not bring it to 75 members within 3 s. The
// document then arrives both from the store and through the relay, and the first to
// arrive takes effect: an older version never replaces a newer one.
func (s *spreadLoop) watchDocument() {
	if !s.d.settings.Spread.WatchDocument {
		return
	}
	var from documentPosition
	limiter := &watchLimiter{rate: cmp.Or(s.d.settings.Spread.WatchesPerSecond, watchRate)}
	for !s.stopped() {
		if !s.zoneIsLarge() {
			from = documentPosition{}
			s.sleep(documentRetry)
			continue
		}
		s.sleep(limiter.reserve(bootclock.Now()))
		if !s.readDocument(&from) {
			s.sleep(documentRetry)
		}
	}
}

// zoneIsLarge reports whether each member of the zone watches the document by itself.
func (s *spreadLoop) zoneIsLarge() bool {
	return s.d.fleet.isLarge() && s.zoneMembers() > largeZone
}

// documentPosition is where the next watch of the document begins. With revision 0 it
// is what this daemon has learned from others, and with mustList the document is listed.
type documentPosition struct {
	revision uint64
	mustList bool
}

// readDocument makes one call for the document, and reports whether the next may follow
// at once. A list is made only if it has to be: it has the whole document, and when a
// zone grows large, all its members begin at the same time.
func (s *spreadLoop) readDocument(from *documentPosition) bool {
	revision := from.revision
	if revision == 0 {
		revision = s.documentRevision.Load()
	}
	read := s.watchDocumentOnce
	if from.mustList || revision == 0 {
		read = s.listDocument
	}
	next, err := read(revision)
	if err == nil {
		*from = documentPosition{revision: next}
		return true
	}
	from.mustList = from.mustList || objectstore.IsRevisionTooOld(err)
	return objectstore.IsRevisionTooOld(err)
}

// listDocument reads the document and returns the revision from which to watch.
func (s *spreadLoop) listDocument(uint64) (uint64, error) {
	page, err := s.d.client.List(document.Kind, "", listPage)
	s.d.store.recordResult("list", document.Kind, err)
	if err != nil {
		return 0, err
	}
	s.pushDocuments(page.Items)
	return page.Revision, nil
}

// watchDocumentOnce waits for changes after a revision and returns the revision
// from which to go on.
func (s *spreadLoop) watchDocumentOnce(revision uint64) (uint64, error) {
	changes, err := s.d.client.Watch(document.Kind, revision, documentWait)
	s.d.store.recordResult("watch", document.Kind, err)
	if err != nil {
		return 0, err
	}
	s.pushDocuments(changes.Events)
	return changes.Revision, nil
}

func (s *spreadLoop) pushDocuments(list []objectstore.Object) {
	for _, o := range list {
		if o.Name == s.d.settings.Environment && !o.Deleted {
			s.ring.PushWait(documentSeen{object: o}, s.stop)
		}
	}
}

func (s *spreadLoop) stopped() bool {
	select {
	case <-s.stop:
		return true
	default:
		return false
	}
}

// sleep waits for the given time or until the daemon ends.
func (s *spreadLoop) sleep(pause time.Duration) {
	select {
	case <-s.stop:
	case <-time.After(pause):
	}
}
