package event

var documentEvents = []Def{}
