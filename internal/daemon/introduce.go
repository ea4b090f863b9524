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

// introduceEvery is the time between two questions to the settings' peers.
const introduceEvery = time.Second

// introduced are session records that a peer named in the settings told, for
// a daemon that starts while the store can't be reached. They say whom to
// talk to; they count as known only once the daemon has caught up.
type introduced struct{ records []session.Record }

func (w introduced) spreadWork(s *spreadDuty, now mono.Time) {
	if s.ready.Load() || len(w.records) == 0 {
		return
	}
	s.d.fleet.introduced.Store(&w.records)
	members := s.members()
	for _, r := range w.records {
		if !r.State.Final() && r.Session.Host != s.d.self.Host {
			members = append(members, spread.Member{Session: r.Session, Zone: r.Place.Zone})
		}
	}
	s.step(now, spread.Members{All: members})
}

// introduce asks the settings' peers, in turn, for the fleet's sessions until
// the daemon has caught up.
func (s *spreadDuty) introduce() {
	defer s.done.Done()
	peers := s.d.settings.Peers
	client := &http.Client{Timeout: callTimeout}
	tick := time.NewTicker(introduceEvery)
	defer tick.Stop()
	for turn := 0; len(peers) > 0 && !s.ready.Load(); turn++ {
		select {
		case <-s.stop:
			return
		case <-tick.C:
		}
		if s.d.store.reachable() {
			continue
		}
		address := peers[turn%len(peers)]
		records, err := askSessions(client, address)
		if err != nil {
			s.d.log.Event(event.PeerClosed, "peer", address, "cause", err.Error())
			continue
		}
		s.ring.Wait(introduced{records: records}, s.stop)
	}
}

func askSessions(client *http.Client, address string) ([]session.Record, error) {
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
