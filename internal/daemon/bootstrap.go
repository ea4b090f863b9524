package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/internal/controlrpc"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/session"
	"github.com/rhubarbring/rhubarbring/spread"
)

// bootstrapInterval is the time between two requests to the peers that the
// settings name.
const bootstrapInterval = time.Second

// bootstrapRecords are session records from a peer that the settings name. A
// daemon uses them if it starts while the store is unreachable. They only tell
// it which daemons to contact, and where; the sessions count as known once the
// daemon has caught up.
type bootstrapRecords struct {
	records []session.Record
	read    bool // They are from the store.
}

func (w bootstrapRecords) handle(s *spreadLoop, now mono.Time) {
	if s.caughtUp.Load() || len(w.records) == 0 && !w.read {
		return
	}
	s.d.fleet.bootstrap.Store(&w.records)
	s.step(now, spread.Members{All: s.bootstrapMembers(w.records), Read: w.read})
}

// bootstrapMembers returns the members with those of the records that are of other
// hosts.
func (s *spreadLoop) bootstrapMembers(records []session.Record) []spread.Member {
	members := s.members()
	for _, r := range records {
		if !r.State.Final() && r.Session.Host != s.d.self.Host {
			members = append(members, spread.Member{Session: r.Session, Zone: r.Place.Zone})
		}
	}
	return members
}

// membersRead passes on the session records that the daemon has read from the
// store before it has caught up. They serve as those from a peer do.
func (s *spreadLoop) membersRead(a spread.MembersRead) {
	var records []session.Record
	for _, o := range a.Objects {
		if r, err := session.Decode(o.Value); err == nil {
			records = append(records, r)
		}
	}
	go s.ring.PushWait(bootstrapRecords{records: records, read: true}, s.stop)
}

// bootstrapFromPeers requests the session records of the fleet from the peers
// that the settings name, one peer after the other, while the store is
// unreachable and until the daemon has caught up.
func (s *spreadLoop) bootstrapFromPeers() {
	defer s.done.Done()
	peers := s.d.settings.SeedPeers
	client := &http.Client{Timeout: callTimeout}
	tick := time.NewTicker(bootstrapInterval)
	defer tick.Stop()
	for turn := 0; len(peers) > 0 && !s.caughtUp.Load(); turn++ {
		select {
		case <-s.stop:
			return
		case <-tick.C:
		}
		if s.d.store.reachable() {
			continue
		}
		address := peers[turn%len(peers)]
		records, err := fetchSessions(client, address)
		if err != nil {
			s.d.log.Event(event.PeerClosed, "peer", address, "cause", err.Error())
			continue
		}
		s.ring.PushWait(bootstrapRecords{records: records}, s.stop)
	}
}

func fetchSessions(client *http.Client, address string) ([]session.Record, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	reply, err := controlrpc.NewControlProtobufClient("http://"+address, client).Sessions(ctx, &controlrpc.SessionsRequest{})
	if err != nil {
		return nil, err
	}
	records := make([]session.Record, 0, len(reply.Records))
	for _, r := range reply.Records {
		record, err := session.Decode(r.Value)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}
