package daemon

import (
	"strings"
	"time"

	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/internal/bootclock"
	"github.com/rhubarbring/rhubarbring/internal/targetclient"
	"github.com/rhubarbring/rhubarbring/mono"
	"github.com/rhubarbring/rhubarbring/quarantine"
	"github.com/rhubarbring/rhubarbring/request"
)

// targetProbed is the result of a probe of the target's address.
type targetProbed struct {
	instance  uint64
	at        mono.Time // when the probe began
	listening bool
}

func (w targetProbed) handle(r *routingLoop, now mono.Time) {
	r.target.probing = false
	if !w.listening {
		r.instanceEnded(now, w.instance)
		r.endLostTicketsOf(now, w.instance)
		r.handOverEnded(now, w.instance)
		return
	}
	r.crashes.InstanceAlive(w.at, w.instance)
	if r.crashes.HasLosses(w.instance) {
		r.probeTarget(w.instance)
	}
}

// observeRun tells the detector of crashes how a run ended. A run that is lost
// before its deadline may be lost with the target's process, which a probe of the
// target's address tells at once.
func (r *routingLoop) observeRun(now mono.Time, run *targetRun, reply targetclient.Reply) {
	switch reply.Verdict {
	case targetclient.Answered:
		r.requestAnswered(run.request)
	case targetclient.NotSent:
		if reply.ConnRefused {
			r.instanceEnded(now, run.instance)
			r.endLostTicketsOf(now, run.instance)
			r.probeTarget(run.instance)
		}
	case targetclient.LostAfterSend:
		if now.Before(run.deadline) && run.gate.IsRunning(run.number) {
			r.runLost(now, run)
		}
	}
}

// requestAnswered records that a target has answered a request. If it was a suspect,
// daemons that start later learn of it from this host's report.
func (r *routingLoop) requestAnswered(req *request.Request) {
	f, isSuspect := r.quarantine.Suspect(req)
	if !isSuspect {
		return
	}
	r.quarantine.Answered(req)
	if r.crashReport.report.Answer(f) {
		r.crashReport.changed = true
	}
}

// runLost handles a run that ended without an answer although nobody ended it.
func (r *routingLoop) runLost(now mono.Time, run *targetRun) {
	crash, known := r.crashes.RunLost(now, run.instance, quarantine.Of(run.request))
	if known {
		r.publishCrash(now, crash)
		return
	}
	r.probeTarget(run.instance)
}

// probeTarget finds out whether the target's process still listens.
func (r *routingLoop) probeTarget(instance uint64) {
	if instance != r.target.instance || r.target.probing {
		return
	}
	r.target.probing = true
	client := r.target.client
	go func() {
		time.Sleep(probeDelay)
		at := bootclock.Now()
		r.ring.PushWait(targetProbed{instance: instance, at: at, listening: client.IsListening()}, r.stop)
	}()
}

// probeDelay is the time between the first loss of a run and the probe. A process
// that ends may close its connections before it stops listening.
const probeDelay = 50 * time.Millisecond

// instanceEnded handles the proof that an instance of the target has ended.
func (r *routingLoop) instanceEnded(now mono.Time, instance uint64) {
	crash, ok := r.crashes.InstanceEnded(now, instance)
	if !ok {
		return
	}
	r.publishCrash(now, crash)
}

// handOverEnded gives up the slices of the current instance, which refuses
// connections. They get other owners once it surely holds them no more, and need
// not wait until the target is missed.
func (r *routingLoop) handOverEnded(now mono.Time, instance uint64) {
	if r.target.instance != instance || r.target.gone {
		return
	}
	r.targetGone(now)
	r.executeHolder(now, r.holder.RenounceAll(now))
}

// publishCrash counts a crash of this host's target and reports it to the other
// daemons. It is called again if more runs turn out to be lost with the process.
func (r *routingLoop) publishCrash(now mono.Time, c quarantine.Crash) {
	r.log.Event(event.TargetCrashed, "app", string(r.target.app), "instance", c.Instance, "requests", joinFingerprints(c.Requests))
	r.recordCrash(now, c)
	r.crashReport.add(now, c)
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
