package document

import (
	"fmt"
	"sort"

	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/result"
)

// TrialState is the state of the trial environment as reported by the store
// and the daemons.
type TrialState struct {
	// Environment is the trial's name.
	Environment string
	// Stored is the trial's document; nil if it has none.
	Stored *Stored
	// Zones holds what each availability zone with a daemon that answered has
	// in force.
	Zones map[host.Zone]InForce
	// Unresponsive lists the live daemons that didn't answer.
	Unresponsive []host.ID
}

// Promote decides whether the bytes with the given hash may be promoted from
// the trial to the document's own environment. It returns the evidence to
// store with the document. The error is HashMismatch if the trial holds other
// bytes, and NotTried if it holds none, isn't the document's trial, has a
// daemon that doesn't answer or an availability zone without the bytes in
// force, or has no daemon.
func Promote(want Hash, doc *Document, trial TrialState) (*Evidence, error) {
	if trial.Environment != doc.Trial {
		return nil, refusal(result.NotTried, "trial", fmt.Sprintf("the document names %s as its trial, not %s", doc.Trial, trial.Environment), "promote from the trial that the document names")
	}
	if trial.Stored == nil {
		return nil, refusal(result.NotTried, "trial", trial.Environment+" has no document", "apply the document in trial first")
	}
	if trial.Stored.Hash != want {
		return nil, refusal(result.HashMismatch, "hash", fmt.Sprintf("%s holds %s by %s, not %s", trial.Environment, trial.Stored.Hash.Short(), trial.Stored.Who, want.Short()), "promote the bytes that were tried, or apply these in trial first")
	}
	if len(trial.Unresponsive) > 0 {
		return nil, refusal(result.NotTried, "trial", fmt.Sprintf("%d daemons of %s don't answer, first %s", len(trial.Unresponsive), trial.Environment, trial.Unresponsive[0]), "wait until they answer or their sessions have ended, then promote")
	}
	return collectEvidence(doc, trial)
}

// collectEvidence requires that the trial's version is in force in every zone of
// the document that has live daemons, and that there is at least one daemon.
func collectEvidence(doc *Document, trial TrialState) (*Evidence, error) {
	e := &Evidence{Environment: trial.Environment, Version: trial.Stored.Version, Hash: trial.Stored.Hash}
	for _, zone := range reportedZones(doc, trial) {
		z := trial.Zones[zone]
		if z.Version != e.Version || z.Hash != e.Hash {
			return nil, refusal(result.NotTried, "trial", fmt.Sprintf("availability zone %s of %s has version %d in force, not %d", zone, trial.Environment, z.Version, e.Version), "wait until rhubarb status shows it in force there, then promote")
		}
		e.Hosts += z.Hosts
	}
	if e.Hosts == 0 {
		return nil, refusal(result.NotTried, "trial", "no daemon of "+trial.Environment+" has had it in force", "start the trial's daemons, wait until rhubarb status shows it in force, then promote")
	}
	return e, nil
}

func reportedZones(doc *Document, trial TrialState) []host.Zone {
	var zones []host.Zone
	for zone := range trial.Zones {
		if _, ok := doc.RegionOf(zone); ok {
			zones = append(zones, zone)
		}
	}
	sort.Slice(zones, func(i, j int) bool { return zones[i] < zones[j] })
	return zones
}

func refusal(code result.Code, field, detail, remedy string) error {
	return &result.Error{Code: code, Field: field, Detail: detail, Remedy: remedy}
}
