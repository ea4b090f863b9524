// Package event defines the numbered log events of the system. Every log line
// carries one of them. The catalogue in docs/LOG-EVENTS.md lists each event
// and is checked against this package by a test.
package event

import "sort"

// ID numbers a log event. 10xx is the process and its peers, 20xx sessions
// and leases, 30xx placement, 40xx requests, 50xx documents, 60xx alarms.
type ID uint16

// Level is the severity of an event.
type Level uint8

// The levels. Only Alarm asks for a person.
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

// Def describes an event, one row of docs/LOG-EVENTS.md.
type Def struct {
	ID     ID
	Name   string // snake_case name as it stands in log lines.
	Level  Level
	Fields string // Names of the fields beside the usual ones, separated by spaces.
	Doc    string // What happened, and what to do if anything.
}

// Lookup returns the definition of an event, and whether it is defined.
func Lookup(id ID) (Def, bool) {
	d, ok := byID[id]
	return d, ok
}

// All returns every event in ascending order.
func All() []Def {
	out := make([]Def, 0, len(byID))
	for _, d := range byID {
		out = append(out, d)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// String returns the event's name.
func (id ID) String() string {
	return byID[id].Name
}

var byID = index(processEvents, sessionEvents, placementEvents, requestEvents, documentEvents, alarmEvents)

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
