// Package quarantine keeps requests that end the targets that run them from
// ending further ones.
//
// Each daemon observes which requests its target was running when the target's
// process ended, and publishes them as a Crash. All daemons count the crashes of
// each request in a Ledger. A request is known by its content, since a repeated
// one comes under a new ID and at any daemon.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/rhubarbring/rhubarbring/request"
)

// Fingerprint identifies requests of the same content: the same app, key, method,
// path and body. Header fields do not count, since some differ from host to host.
type Fingerprint [16]byte

// Of returns the fingerprint of a request.
func Of(r *request.Request) Fingerprint {
	h := sha256.New()
	var length [8]byte
	for _, part := range [...][]byte{[]byte(r.App), []byte(r.Key), []byte(r.Method), []byte(r.Path), r.Body} {
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f[:])
}

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) {
	return []byte(f.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(f) {
		return hex.ErrLength
	}
	_, err := hex.Decode(f[:], text)
	return err
}
