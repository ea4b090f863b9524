// Package event defines the numbered log events of the system. Every log line
// carries one of them. The catalogue in docs/LOG-EVENTS.md is generated from
// this package, and a test checks that both agree.
package event

import "sort"

// ID is the number of a log event. The ranges are: 10xx the process and its
// peers, 20xx sessions and takeovers, 30xx placement, 40xx requests, 50xx
// documents and replication from the store, 60xx alarms and outcomes at risk.
type ID uint16

// Level is the severity of an event.
type Level uint8

// The levels. Only Alarm needs the attention of a person.
const (
	Debug Level = iota
	Info
	Warn
	Alarm
)

var levelNames = [...]string{"debug", "info", "warn", "alarm"}

// String returns the level's name.
func (l Level) String() string {
	return levelNames[l]
}

// Def defines an event. Each Def is a row of docs/LOG-EVENTS.md.
type Def struct {
	ID     ID
	Name   string // Name in log lines, in snake_case.
	Level  Level
	Fields string // Names of the fields besides those of every line, separated by spaces.
	Doc    string // What happened, and what to do about it, if anything.
}

// Lookup returns the definition of an event, and whether there is one.
func Lookup(id ID) (Def, bool) {
	d, ok := byID[id]
	return d, ok
}

// All returns every event in ascending order of ID.
func All() []Def {
	out := make([]Def, 0, len(byID))
	for _, d := range byID {
		out = append(out, d)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// String returns the event's name, or "" if the event is not defined.
func (id ID) String() string {
	return byID[id].Name
}

var byID = index(processEvents, sessionEvents, placementEvents, requestEvents, documentEvents, alarmEvents)

// index maps events by ID. It panics if two events have the same ID.
func index(groups ...[]Def) map[ID]Def {
	m := make(map[ID]Def)
	for _, g := range groups {
		for _, d := range g {
			if other, taken := m[d.ID]; taken {
				panic("event: " + d.Name + " and " + other.Name + " have the same number")
			}
			m[d.ID] = d
		}
	}
	return m
}
