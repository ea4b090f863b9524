package spread

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/mono"
)

// countDocumentBytes counts the bytes of documents that daemons send to each other from
// now on.
func (f *fleet) countDocumentBytes() *int {
	sum := 0
	f.onSend = func(_ *node, a Send) {
		m, ok := a.Message.(*Objects)
		if !ok || m.Kind != 0 {
			return
		}
		for _, o := range m.Items {
			sum += len(o.Value)
		}
	}
	return &sum
}

// newListedFleet returns a caught-up fleet of 4 zones with 20 daemons each, whose
// store no longer has the changes since its beginning: a daemon that starts reads
// lists.
func newListedFleet(documentBytes int) *fleet {
	return newListedFleetOf(20, documentBytes)
}

func newListedFleetOf(perZone, documentBytes int) *fleet {
	f := newFleetOf(1, 0, 0, nil)
	f.configure = func(c *Config) {
		c.Interval, c.SuspectAfter = 500*time.Millisecond, 1500*time.Millisecond
		c.DocumentReaders, c.MembersKind = 2, sessions
	}
	f.store.documentBytes = documentBytes
	for z := range 4 {
		f.addZone(z, perZone)
	}
	f.store.write(testDocument, false)
	for _, n := range f.nodes {
		f.start(n)
	}
	f.announceMembers()
	for range 2 * rememberedChanges {
		f.store.write(Key{sessions, "s"}, false)
	}
	f.run(20 * time.Second)
	return f
}

// A daemon that started and read the list of documents made all others fetch the whole
// document, which they held, over links that requests wait for.
func TestStartOfDaemonDoesNotSendDocumentAgain(t *testing.T) {
	f := newListedFleet(100_000)
	document := len(f.store.content(testDocument, 1))
	sent := f.countDocumentBytes()
	for _, n := range f.nodes[7:9] {
		f.store.write(Key{sessions, "s"}, false)
		f.startAlone(n)
		f.run(200 * time.Millisecond)
		f.announceMembers()
		f.run(10 * time.Second)
		must.Eq(t, len(f.nodes), f.countCaughtUp())
		must.Eq(t, "", f.findBehind(testDocument, 1, f.now))
	}
	t.Logf("bytes of documents sent for two daemons that started: %d", *sent)
	must.LessEq(t, 2*document, *sent)
}

// A daemon that was behind was sent the same changes in answer to each of its messages,
// while the first copy was still on its way.
func TestLargeChangeIsSentToEachDaemonOnce(t *testing.T) {
	f := newListedFleet(20_000)
	f.store.documentBytes = 100_000
	sent := f.countDocumentBytes()
	for _, n := range f.nodes {
		n.lag = 300 * time.Millisecond
	}
	version := f.store.write(testDocument, false)
	f.run(configApply)
	must.Eq(t, "", f.findBehind(testDocument, version, f.now))
	document := len(f.store.content(testDocument, version))
	t.Logf("bytes sent of a document that is %d longer, to %d daemons: %d", document-20_000, len(f.nodes), *sent)
	must.LessEq(t, len(f.nodes)*document, *sent)
}

// Where daemons started while a large document spread, others sent whole documents again
// over small links, behind which requests, cancellations and the next version waited.
func TestDocumentsLeaveRoomOnSmallLinks(t *testing.T) {
	const (
		smallLink, largeLink = 1.25e6, 25e6 // Bytes per second.
		// maxWait is the time after which the request of a caller who has left must not
		// reach a target any more.
		maxWait = 500 * time.Millisecond
	)
	f := newListedFleet(80_000)
	f.unpaced = true
	f.store.documentBytes = 320_000
	for i, n := range f.nodes {
		n.link = smallLink
		if i%20 == 0 {
			n.link = largeLink
		}
	}
	version := uint64(0)
	for i := range 12 {
		if i == 6 {
			version = f.store.write(testDocument, false)
		}
		f.startOne(f.nodes[7+6*i])
	}
	must.Eq(t, "", f.findBehind(testDocument, version, f.now))
	for _, n := range f.nodes {
		must.Less(t, maxWait, n.linkWait, must.Sprintf("wait for the link of %s", n.session.Host))
	}
}

// startOne starts a daemon whose session the others learn of a moment later. It takes
// half a second.
func (f *fleet) startOne(n *node) {
	f.store.write(Key{sessions, "s"}, false)
	f.startAlone(n)
	f.run(200 * time.Millisecond)
	f.announceMembers()
	f.run(300 * time.Millisecond)
}

// lateOnSmallLinks writes a large document while daemons start, one of them the relay of
// a zone, and returns which daemons lack it after configApply.
func lateOnSmallLinks(perZone int, unpaced bool, smallLink float64) []string {
	const largeLink = 25e6 // Bytes per second.
	f := newListedFleetOf(perZone, 80_000)
	f.unpaced = unpaced
	for i, n := range f.nodes {
		n.link = smallLink
		if i%perZone == 0 {
			n.link = largeLink
		}
	}
	const before, after, each = 4, 5, 500 * time.Millisecond
	starting := func(i int) *node { return f.nodes[(7+13*i)%len(f.nodes)] }
	for i := range before {
		f.startOne(starting(i))
	}
	f.store.documentBytes = 600_000
	version := f.store.write(testDocument, false)
	f.run(configApply - after*each)
	for i := range after {
		f.startOne(starting(before + i))
	}
	var late []string
	for _, n := range f.nodes {
		if n.caughtUpAt != mono.Never && n.adopted[testDocument] < version {
			late = append(late, string(n.session.Host))
		}
	}
	return late
}

// A document came too late (CONFIG) at members of a zone whose relay had just started and
// learned of it from a peer: it did not announce it, and the other reader's small link
// had to carry all copies.
func TestDocumentThatRelayLearnsFromPeerArrivesInTime(t *testing.T) {
	for _, unpaced := range []bool{false, true} {
		for _, smallLink := range []float64{0.6e6, 1.25e6} {
			must.SliceEmpty(t, lateOnSmallLinks(20, unpaced, smallLink))
		}
	}
}

// In a zone of 32 members two readers bring a large document in time: package daemon has
// the members of larger ones watch it themselves.
func TestTwoReadersServeZoneOf32Members(t *testing.T) {
	for _, smallLink := range []float64{0.6e6, 1.25e6} {
		must.SliceEmpty(t, lateOnSmallLinks(32, false, smallLink))
	}
}
