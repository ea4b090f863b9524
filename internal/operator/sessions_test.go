package operator

import (
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/fakestore"
	"github.com/rhubarbring/rhubarbring/internal/storeclient"
	"github.com/rhubarbring/rhubarbring/result"
	"github.com/rhubarbring/rhubarbring/session"
	"github.com/rhubarbring/rhubarbring/takeover"
)

// The write is refused if the record changed after it was read.
func TestWriteDeclarationRefusesChangedRecord(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := fakestore.New(fakestore.Config{Seed: 1, History: 10})
	go func() { _ = server.Serve(ln) }()
	store := storeclient.New(ln.Addr().String(), time.Second).ForEnvironment("trial")
	r := session.Record{Token: "a", Session: host.Session{Host: "h", Incarnation: 1}, State: session.Live, Generation: 1}
	put := func(version uint64) {
		value, err := r.Encode()
		must.NoError(t, err)
		_, err = store.Put(session.ObjectKind, session.ObjectName(r.Session), version, value)
		must.NoError(t, err)
	}
	put(0)
	seen, err := readSession(store, r.Session)
	must.NoError(t, err)
	r.Token, r.Generation = "b", 2
	put(seen.Version)
	_, err = writeDeclaration(store, takeover.DeclareLost(seen, "mine"))
	must.ErrorIs(t, err, &result.Error{Code: result.StoreConflict})
	now, err := readSession(store, r.Session)
	must.NoError(t, err)
	must.Eq(t, session.Live, now.Record.State)
	must.NoError(t, server.Close())
}
