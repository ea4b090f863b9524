package spread

import "encoding/binary"

// Differ encodes an object's new value as a difference from its old one. An
// implementation may make use of the format of a kind, such as that of package
// assignment; Blocks works on any bytes.
type Differ interface {
	// Diff returns the difference, or nil if there is none worth sending.
	Diff(kind Kind, before, after []byte) []byte
	// Apply returns the new value, and whether the difference could be
	// applied.
	Apply(kind Kind, before, delta []byte) ([]byte, bool)
}

// blockBytes is the length of the blocks of the old value that Blocks searches
// for in the new one. A match is then extended in both directions.
const blockBytes = 16

// Blocks is a Differ that copies byte ranges of the old value. A difference is
// a list of operations: the uvarint of twice a length, followed by that many
// literal bytes; or the uvarint of twice a length plus 1, followed by the
// uvarint of the offset in the old value to copy from.
type Blocks struct{}

// Diff returns the difference, or nil unless it is shorter than the new value.
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
		back := commonSuffix(before[:from], after[literal:at])
		length := back + commonPrefix(before[from:], after[at:])
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

// Apply carries out the operations on the old value. It returns false for an
// operation that is truncated or out of range.
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

// commonPrefix returns the length of the longest common prefix.
func commonPrefix(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

// commonSuffix returns the length of the longest common suffix.
func commonSuffix(a, b []byte) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[len(a)-1-i] != b[len(b)-1-i] {
			return i
		}
	}
	return n
}
