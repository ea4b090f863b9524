package entry

import (
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"
	"sync"
	"time"
)

// idSource generates UUIDs of version 7 for requests without an id. It is safe
// for concurrent use.
type idSource struct {
	mu     sync.Mutex
	random *rand.ChaCha8
}

func newIDSource(seed uint64) *idSource {
	var key [32]byte
	binary.LittleEndian.PutUint64(key[:], seed)
	binary.LittleEndian.PutUint64(key[8:], uint64(time.Now().UnixNano()))
	return &idSource{random: rand.NewChaCha8(key)}
}

func (s *idSource) next() string {
	var b [16]byte
	s.mu.Lock()
	binary.LittleEndian.PutUint64(b[:8], s.random.Uint64())
	binary.LittleEndian.PutUint64(b[8:], s.random.Uint64())
	s.mu.Unlock()
	ms := uint64(time.Now().UnixMilli())
	var stamp [8]byte
	binary.BigEndian.PutUint64(stamp[:], ms)
	copy(b[:6], stamp[2:])
	b[6] = b[6]&0x0f | 0x70
	b[8] = b[8]&0x3f | 0x80
	return formatUUID(b)
}

func formatUUID(b [16]byte) string {
	var text [uuidBytes]byte
	hex.Encode(text[0:8], b[0:4])
	text[8] = '-'
	hex.Encode(text[9:13], b[4:6])
	text[13] = '-'
	hex.Encode(text[14:18], b[6:8])
	text[18] = '-'
	hex.Encode(text[19:23], b[8:10])
	text[23] = '-'
	hex.Encode(text[24:], b[10:])
	return string(text[:])
}
