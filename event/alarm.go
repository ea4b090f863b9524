package event

var alarmEvents = []Def{}
