package event

var placementEvents = []Def{}
