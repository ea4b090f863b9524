package faulttest

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/internal/faketarget"
	"github.com/rhubarbring/rhubarbring/internal/load"
	"github.com/rhubarbring/rhubarbring/result"
)

type journalRecord = faketarget.Record

// hostsInRegion returns the hosts of a region and their names.
func (f *fleet) hostsInRegion(name string) (hosts []*node, names []string) {
	for _, h := range f.hosts {
		if string(h.settings.Region) == name {
			hosts = append(hosts, h)
			names = append(names, h.name())
		}
	}
	return hosts, names
}

// hostsWithLocalWitnesses returns the hosts with at least two witnesses in
// their own region. A cut between the regions does not affect their lease,
// since these witnesses are a majority.
func (f *fleet) hostsWithLocalWitnesses() map[host.ID]bool {
	regions := map[host.ID]host.Region{}
	for _, h := range f.hosts {
		regions[h.settings.Host] = h.settings.Region
	}
	keepsLease := map[host.ID]bool{}
	for _, h := range f.hosts {
		local := 0
		for _, w := range h.status().Lease.Witnesses {
			if regions[w.Host] == h.settings.Region {
				local++
			}
		}
		keepsLease[h.settings.Host] = local >= 2
	}
	return keepsLease
}

// The link between the regions is cut, and one region also loses the store.
// Both regions must go on serving the keys that they own, no key may have two
// owners, and after the cut a key of the islands must be served again to a
// request that enters in the mainland.
func TestRegionsCutOffFromEachOtherServeOwnedKeys(t *testing.T) {
	f := newFleet(t)
	before := ownersByKey(f)
	mainland, mainlandNames := f.hostsInRegion("mainland")
	islands, islandNames := f.hostsInRegion("islands")
	key := f.keyOwnedBy(islands[0])
	mainlandTraffic := f.load(10*time.Second, mainland...)
	mainlandTraffic.waitEnded(1)
	islandTraffic := f.load(10*time.Second, islands...)
	islandTraffic.waitEnded(requestsPerSecond / 2)
	from := int64(bootclock.Now())
	keepsLease := f.hostsWithLocalWitnesses()
	f.net.setCut(true, islandNames, append([]string{storeName}, mainlandNames...))
	islandTraffic.waitEnded(2 * requestsPerSecond)
	f.net.setCut(false, islandNames, append([]string{storeName}, mainlandNames...))
	to := int64(bootclock.Now())
	remoteRequest := testRequest{app: islands[0].app, key: key, attempt: 1, idempotent: true, deadline: time.Second}
	f.eventually("a key of the other region is served", func() bool { return mainland[0].send(remoteRequest) == result.Done.String() })
	in := f.collectInput(mainlandTraffic, islandTraffic)
	in.Journal = withoutProbes(in)
	f.checkInvariants(in)
	regionOfHost := map[host.ID]string{}
	regionOfEntry := map[string]string{}
	// A request may end with an unknown outcome if the session of the daemon that
	// received it ends, so only daemons that keep their lease are checked.
	entryKeepsLease := map[string]bool{}
	for _, h := range f.hosts {
		regionOfHost[h.settings.Host] = string(h.settings.Region)
		regionOfEntry[h.settings.CallerAddress] = string(h.settings.Region)
		entryKeepsLease[h.settings.CallerAddress] = keepsLease[h.settings.Host]
	}
	checkDoneBetween(t, in.Records, from, to, func(r load.Record) bool {
		return r.Key != "" && entryKeepsLease[r.Sendings[0].Daemon] && keepsLease[before[r.App+" "+r.Key]] && regionOfHost[before[r.App+" "+r.Key]] == regionOfEntry[r.Sendings[0].Daemon]
	})
}

// A host is cut off from everything but its callers and is recorded as lost
// while its daemon still runs. It must return with a new session, and its
// target must run nothing under the old session once another host owns its
// keys. The target checks no grants, so the daemon alone has to prevent this.
func TestCutOffHostReturnsWithNewSession(t *testing.T) {
	f := newFleet(t)
	victim := f.hosts[2]
	rest := f.namesWithout(victim)
	old := victim.status().Session
	tr := f.load(11 * time.Second)
	tr.waitEnded(requestsPerSecond)
	f.net.setCut(true, []string{victim.name()}, append(rest, storeName))
	f.eventually("others own its keys", func() bool { return f.lostAndReplaced(old, f.hosts[8]) })
	must.Eq(t, old, victim.currentDaemon().Self())
	// Callers still reach the host; its daemon must refuse their requests because
	// its lease has expired.
	tr.waitEnded(2 * requestsPerSecond)
	f.net.setCut(false, []string{victim.name()}, append(rest, storeName))
	f.eventually("it is back as a new session", func() bool {
		s := victim.status()
		return s.Session.Incarnation > old.Incarnation && s.Ready == "" && s.Target != nil
	})
	f.checkInvariants(f.collectInput(tr))
}

// namesWithout returns the names of all hosts but one.
func (f *fleet) namesWithout(one *node) []string {
	var names []string
	for _, h := range f.hosts {
		if h != one {
			names = append(names, h.name())
		}
	}
	return names
}
