package document

import (
	"fmt"
	"strconv"

	"github.com/rhubarbring/rhubarbring/host"
)

// addIfChanged adds an item for a field if its value changed.
func (p *planner) addIfChanged(kind PlanKind, subject, field, old, next, concerns, effect string) {
	if old == next {
		return
	}
	p.add(Item{Kind: kind, Subject: subject, Field: field, Old: old, New: next, Concerns: concerns, Effect: effect})
}

func (p *planner) limits(old, a App) {
	subject := "app " + string(a.Name)
	p.addIfChanged(LimitChanged, subject, "deadline.default", old.Deadline.Default.String(), a.Deadline.Default.String(),
		"callers that name no deadline", "wait that long")
	p.addIfChanged(LimitChanged, subject, "deadline.maximum", old.Deadline.Maximum.String(), a.Deadline.Maximum.String(),
		"callers that name a longer deadline", "are refused as bad_deadline")
	p.addIfChanged(LimitChanged, subject, "queue_bound", strconv.Itoa(old.QueueBound), strconv.Itoa(a.QueueBound),
		"callers when a target is busy", "are refused as queue_full beyond the bound")
	p.addIfChanged(LimitChanged, subject, "retry_budget", formatFloat(old.RetryBudget), formatFloat(a.RetryBudget),
		"requests that a gate refused", "are retried up to the budget, then refused as retry_budget_spent")
	p.addIfChanged(LimitChanged, subject, "cold_requests_per_second", formatFloat(old.ColdRequestsPerSecond), formatFloat(a.ColdRequestsPerSecond),
		"targets of the app that are cold", "get at most that many requests a second; 0 is no limit")
	p.addIfChanged(LimitChanged, subject, "cold_start", old.ColdStart.String(), a.ColdStart.String(),
		"targets of the app that have just started", "count as cold that long")
	p.addIfChanged(LimitChanged, subject, "hedge_budget", formatFloat(old.HedgeBudget), formatFloat(a.HedgeBudget),
		"slow requests that may be repeated", "get a second attempt up to the budget")
	if a.Deadline.Maximum < old.Deadline.Maximum {
		p.add(Item{
			Kind: RefusalsExpected, Subject: subject, Concerns: "callers that name a deadline above " + a.Deadline.Maximum.String(),
			Effect: "are refused as bad_deadline; none of their requests runs",
		})
	}
	if a.Deadline.Maximum < old.Deadline.Maximum && a.DividedByKey && !a.TargetsCheckGrants {
		p.add(Item{
			Kind: LimitChanged, Subject: subject, Concerns: "takeovers of the app's slices",
			Effect: "still wait for the longest deadline that any version allowed",
		})
	}
	if a.QueueBound < old.QueueBound {
		p.add(Item{
			Kind: RefusalsExpected, Subject: subject, Concerns: "callers when more than " + strconv.Itoa(a.QueueBound) + " wait for a target",
			Effect: "are refused as queue_full; none of their requests runs",
		})
	}
}

func (p *planner) placement(old, a App) {
	subject := "app " + string(a.Name)
	p.addIfChanged(LimitChanged, subject, "max_moves_per_round", strconv.Itoa(old.MaxMovesPerRound), strconv.Itoa(a.MaxMovesPerRound),
		"targets of the app", "take part in that many planned moves a round")
	p.addIfChanged(LimitChanged, subject, "hot_keys", hotKeysText(old.HotKeys), hotKeysText(a.HotKeys),
		"hot keys", "get a slice of their own according to this rule")
	if old.Weights == a.Weights || !a.DividedByKey {
		return
	}
	p.addIfChanged(LimitChanged, subject, "weights", weightsText(old.Weights), weightsText(a.Weights),
		"targets of the app", "are rebalanced with the new weights")
	hosts, _ := p.targets(a)
	p.add(Item{
		Kind: MovesExpected, Subject: subject, Concerns: "callers of the slices that move",
		Effect: fmt.Sprintf("up to %d slices move in each round by planned handover until the new weights are met", a.MaxMovesPerRound),
		Hosts:  hosts, Moves: a.MaxMovesPerRound,
	})
}

// grantChecks adds an item if targets_check_grants changed. If it was switched
// on and some targets don't check grants, it adds another with their number.
func (p *planner) grantChecks(old, a App) {
	subject := "app " + string(a.Name)
	p.addIfChanged(LimitChanged, subject, "targets_check_grants", strconv.FormatBool(old.TargetsCheckGrants), strconv.FormatBool(a.TargetsCheckGrants),
		"targets of the app", "a takeover waits for the longest deadline unless the target checks grants")
	if !a.TargetsCheckGrants {
		return
	}
	hosts, _ := p.countHosts(func(h FleetHost) bool { return h.App == a.Name && !h.ChecksGrants })
	if hosts > 0 && !old.TargetsCheckGrants {
		p.add(Item{
			Kind: LimitChanged, Subject: subject, Concerns: "targets that announce that they do not check",
			Effect: "are treated as targets that do not check", Hosts: hosts,
		})
	}
}

func (p *planner) links() {
	for _, l := range p.next.Links {
		old, had := p.old.Link(l.Between[0], l.Between[1])
		subject := fmt.Sprintf("link %s-%s", l.Between[0], l.Between[1])
		if !had {
			old = Link{Between: []host.Region{"", ""}}
		}
		p.addIfChanged(LimitChanged, subject, "bits_per_second", strconv.FormatInt(old.BitsPerSecond, 10), strconv.FormatInt(l.BitsPerSecond, 10),
			"callers across the link", "their requests beyond the share are refused as link_share_exhausted")
		p.addIfChanged(LimitChanged, subject, "request_share", formatFloat(old.RequestShare), formatFloat(l.RequestShare),
			"callers across the link", "their requests beyond the share are refused as link_share_exhausted")
		p.addIfChanged(LimitChanged, subject, "control_share", formatFloat(old.ControlShare), formatFloat(l.ControlShare),
			"daemons across the link", "send that much between regions")
	}
}

func (p *planner) alarm() {
	old, next := p.old.Alarm, p.next.Alarm
	const who = "the alarm's receiver"
	p.addIfChanged(AlarmChanged, "alarm", "receiver", old.Receiver, next.Receiver, "old and new receiver", "alarms go to the new one")
	p.addIfChanged(AlarmChanged, "alarm", "unowned_key", old.UnownedKey.String(), next.UnownedKey.String(), who, "an alarm is raised for slices that have had no owner for that long")
	p.addIfChanged(AlarmChanged, "alarm", "document_not_in_force", old.DocumentNotInForce.String(), next.DocumentNotInForce.String(), who, "an alarm is raised for documents that have not been in force for that long")
	p.addIfChanged(AlarmChanged, "alarm", "assignment_at_risk", old.AssignmentAtRisk.String(), next.AssignmentAtRisk.String(), who, "an alarm is raised for assignments that have been at risk for that long")
	p.addIfChanged(AlarmChanged, "alarm", "cannot_see", old.CannotSee.String(), next.CannotSee.String(), who, "an alarm names each part of the fleet about which there has been no information for that long")
}

func formatFloat(f float64) string {
	return strconv.FormatFloat(f, 'g', -1, 64)
}

func weightsText(w Weights) string {
	return fmt.Sprintf("imbalance=%s churn=%s unavailable=%s", formatFloat(w.Imbalance), formatFloat(w.Churn), formatFloat(w.Unavailable))
}

func hotKeysText(h *HotKeys) string {
	if h == nil {
		return ""
	}
	return fmt.Sprintf("share=%s expiry=%s maximum=%d", formatFloat(h.Share), h.Expiry, h.Maximum)
}
