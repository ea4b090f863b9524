package request

// Class is the priority class of a request: its rank and whether it is a call,
// which a target makes while it runs another request. Rank 0 is the most urgent.
// The encoding keeps the values that older builds know for ordinary requests of
// the ranks 0 and 1. They treat all further values as Normal.
type Class uint8

// The classes of ordinary requests of the ranks 1 and 0.
const (
	Normal Class = iota
	Urgent
)

// MaxRank is the rank of the least urgent requests. Each rank takes two queues
// in every gate.
const MaxRank = 7

// Levels is the number of levels that Class.Level returns.
const Levels = 2 * (MaxRank + 1)

// normalRank is the rank of the class Normal, and of bytes that are no class.
const normalRank = 1

// The bits of a class other than Normal and Urgent.
const (
	classRanked   Class = 0x80
	classCall     Class = 0x40
	classRankMask Class = 0x3f
)

// ClassOf returns the class of an ordinary request of a rank. A rank outside 0 to
// MaxRank counts as the nearest one.
func ClassOf(rank int) Class {
	rank = min(max(rank, 0), MaxRank)
	switch rank {
	case 0:
		return Urgent
	case normalRank:
		return Normal
	}
	return classRanked | Class(rank)
}

// CallOf returns the class of a call that a target makes while it runs a request
// of class c. It ranks one step before that request, since the slot of the
// request is wasted if the call is refused.
func CallOf(c Class) Class {
	return classRanked | classCall | Class(max(c.Rank()-1, 0))
}

// Rank returns the rank, from 0 to MaxRank.
func (c Class) Rank() int {
	switch {
	case c == Urgent:
		return 0
	case c&classRanked == 0:
		return normalRank
	}
	return min(int(c&classRankMask), MaxRank)
}

// IsCall reports whether a target makes the request while it runs another one.
func (c Class) IsCall() bool {
	return c&classRanked != 0 && c&classCall != 0
}

// Level returns the place of the class in the order of all classes, from 0 to
// Levels-1: by rank and, within a rank, calls first.
func (c Class) Level() int {
	if c.IsCall() {
		return 2 * c.Rank()
	}
	return 2*c.Rank() + 1
}
