package daemon

import (
	"strings"

	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/internal/targetclient"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/quarantine"
)

// targetProbed is the result of a probe of the target's address.
type targetProbed struct {
	instance  uint64
	listening bool
}

func (w targetProbed) handle(r *routingLoop, now mono.Time) {
	r.target.probing = false
	if !w.listening {
		r.instanceEnded(now, w.instance)
	}
}

// observeRun tells the detector of crashes how a run ended. A run that is lost
// before its deadline may be lost with the target's process, which a probe of the
// target's address tells at once.
func (r *routingLoop) observeRun(now mono.Time, run *targetRun, reply targetclient.Reply) {
	switch reply.Verdict {
	case targetclient.Answered:
		r.crashes.RunAnswered(quarantine.Of(run.request))
	case targetclient.NotSent:
		if reply.ConnRefused {
			r.instanceEnded(now, run.instance)
		}
	case targetclient.LostAfterSend:
		if now.Before(run.deadline) {
			r.crashes.RunLost(now, run.instance, quarantine.Of(run.request))
			r.probeTarget(run.instance)
		}
	}
}

// probeTarget finds out whether the target's process still listens.
func (r *routingLoop) probeTarget(instance uint64) {
	if instance != r.target.instance || r.target.probing {
		return
	}
	r.target.probing = true
	client := r.target.client
	go func() { r.ring.PushWait(targetProbed{instance: instance, listening: client.IsListening()}, r.stop) }()
}

// instanceEnded handles the proof that an instance of the target has ended.
func (r *routingLoop) instanceEnded(now mono.Time, instance uint64) {
	crash, ok := r.crashes.InstanceEnded(now, instance)
	if !ok {
		return
	}
	r.log.Event(event.TargetCrashed, "app", string(r.target.app), "instance", instance, "requests", joinFingerprints(crash.Requests))
	r.recordCrash(now, crash)
	r.crashReport.add(now, crash)
	r.writeCrashReport()
}

// recordCrash counts a crash of this host's target or of another one. Requests
// that are in quarantine from now on are refused where they wait.
func (r *routingLoop) recordCrash(now mono.Time, c quarantine.Crash) {
	held := r.quarantine.Record(now, c)
	if len(held) == 0 {
		return
	}
	r.log.Event(event.RequestsHeld, "requests", joinFingerprints(held), "instance", c.Instance)
	for _, g := range r.gates() {
		g.QuarantineChanged(now, &r.gateActions)
	}
}

func joinFingerprints(list []quarantine.Fingerprint) string {
	names := make([]string, len(list))
	for i, f := range list {
		names[i] = f.String()
	}
	return strings.Join(names, " ")
}
