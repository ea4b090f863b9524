package spread

import "encoding/binary"

// Differ writes an object's new value as a difference from its old one.
// Package assignment may offer one that knows its format; Blocks serves for
// any bytes.
type Differ interface {
	// Diff returns the difference, or nil if there is no short one.
	Diff(kind Kind, before, after []byte) []byte
	// Apply returns the new value, and whether the difference fits.
	Apply(kind Kind, before, delta []byte) ([]byte, bool)
}

// blockBytes is the length of the runs that Blocks looks for in the old value.
const blockBytes = 16

// Blocks is a Differ that copies runs of the old value. A difference is a
// list of operations: the varint of twice a length, and the bytes; or the
// varint of twice a length plus 1, and the varint of an offset to copy from.
type Blocks struct{}

// Diff returns the difference if it is shorter than the new value.
func (Blocks) Diff(_ Kind, before, after []byte) []byte {
	if len(before) < blockBytes {
		return nil
	}
	starts := make(map[string]int, len(before)/blockBytes)
	for at := 0; at+blockBytes <= len(before); at += blockBytes {
		starts[string(before[at:at+blockBytes])] = at
	}
	var out []byte
	literal := 0
	for at := 0; at+blockBytes <= len(after); {
		from, ok := starts[string(after[at:at+blockBytes])]
		if !ok {
			at++
			continue
		}
		back := matchBack(before[:from], after[literal:at])
		length := back + match(before[from:], after[at:])
		out = appendLiteral(out, after[literal:at-back])
		out = binary.AppendUvarint(out, uint64(length)<<1|1)
		out = binary.AppendUvarint(out, uint64(from-back))
		at += length - back
		literal = at
	}
	out = appendLiteral(out, after[literal:])
	if len(out) >= len(after) {
		return nil
	}
	return out
}

// Apply follows the operations.
func (Blocks) Apply(_ Kind, before, delta []byte) ([]byte, bool) {
	var after []byte
	for len(delta) > 0 {
		op, n := binary.Uvarint(delta)
		if n <= 0 {
			return nil, false
		}
		delta = delta[n:]
		length := op >> 1
		if op&1 == 0 {
			if length > uint64(len(delta)) {
				return nil, false
			}
			after = append(after, delta[:length]...)
			delta = delta[length:]
			continue
		}
		from, n := binary.Uvarint(delta)
		if n <= 0 || from > uint64(len(before)) || length > uint64(len(before))-from {
			return nil, false
		}
		after = append(after, before[from:from+length]...)
		delta = delta[n:]
	}
	return after, true
}

func appendLiteral(out, literal []byte) []byte {
	if len(literal) == 0 {
		return out
	}
	out = binary.AppendUvarint(out, uint64(len(literal))<<1)
	return append(out, literal...)
}

func match(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

func matchBack(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[len(a)-1-i] != b[len(b)-1-i] {
			return i
		}
	}
	return n
}
