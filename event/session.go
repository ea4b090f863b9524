package event

var sessionEvents = []Def{}
