package event

var requestEvents = []Def{}
