package document

import (
	"strconv"
	"time"
)

// Bounds of the limits for callers. Lower ones would refuse requests of ordinary
// HTTP clients.
const (
	MinHeaderBytes   = 1 << 10
	MinHeaderTimeout = 100 * time.Millisecond
	MaxCallerTimeout = time.Hour
)

// CallerLimits are the operators' limits for callers. Daemons apply them where they
// are narrower than their own; a field that is 0 sets no limit.
type CallerLimits struct {
	// MaxHeaderBytes bounds a request line with its fields.
	MaxHeaderBytes int `json:"max_header_bytes,omitempty"`
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int `json:"max_body_bytes,omitempty"`
	// HeaderTimeout bounds the time to send a header.
	HeaderTimeout Duration `json:"header_timeout,omitempty"`
	// IdleTimeout bounds the time between two requests of a connection.
	IdleTimeout Duration `json:"idle_timeout,omitempty"`
}

// callerLimits checks the times of the limits; the schema checks the sizes.
func (c *checker) callerLimits() {
	l := c.doc.CallerLimits
	if l == nil {
		return
	}
	c.callerTimeout("caller_limits.header_timeout", l.HeaderTimeout)
	c.callerTimeout("caller_limits.idle_timeout", l.IdleTimeout)
}

func (c *checker) callerTimeout(field string, d Duration) {
	if d != 0 && (d.Std() < MinHeaderTimeout || d.Std() > MaxCallerTimeout) {
		c.add(field, "the time is not from "+MinHeaderTimeout.String()+" to "+MaxCallerTimeout.String(), "write a time in between, or leave the field out")
	}
}

// Problems returns what is wrong with limits that did not pass the schema.
func (l *CallerLimits) Problems() Problems {
	c := &checker{doc: &Document{CallerLimits: l}}
	if l.MaxHeaderBytes != 0 && l.MaxHeaderBytes < MinHeaderBytes {
		c.add("caller_limits.max_header_bytes", strconv.Itoa(l.MaxHeaderBytes)+" is below "+strconv.Itoa(MinHeaderBytes), "write a higher number, or leave the field out")
	}
	if l.MaxBodyBytes < 0 {
		c.add("caller_limits.max_body_bytes", "the number is below 0", "write a higher number, or leave the field out")
	}
	c.callerLimits()
	return c.problems
}

func (p *planner) callerLimits() {
	var old, next CallerLimits
	if p.old.CallerLimits != nil {
		old = *p.old.CallerLimits
	}
	if p.next.CallerLimits != nil {
		next = *p.next.CallerLimits
	}
	const subject, who = "caller_limits", "callers beyond the limit"
	p.addIfChanged(LimitChanged, subject, "max_header_bytes", strconv.Itoa(old.MaxHeaderBytes), strconv.Itoa(next.MaxHeaderBytes), who, "are refused as too_large")
	p.addIfChanged(LimitChanged, subject, "max_body_bytes", strconv.Itoa(old.MaxBodyBytes), strconv.Itoa(next.MaxBodyBytes), who, "are refused as too_large")
	p.addIfChanged(LimitChanged, subject, "header_timeout", old.HeaderTimeout.String(), next.HeaderTimeout.String(), who, "lose their connection")
	p.addIfChanged(LimitChanged, subject, "idle_timeout", old.IdleTimeout.String(), next.IdleTimeout.String(), "callers with idle connections", "lose them after that time")
}
