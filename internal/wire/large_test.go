package wire

import (
	"runtime"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// allocatedBy returns how many bytes a function allocates.
func allocatedBy(f func()) int {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return int(after.TotalAlloc - before.TotalAlloc)
}

// A message that is too large to be sent is refused before it is copied.
func TestTooLargeMessageIsNotEncoded(t *testing.T) {
	m := &request.Request{Body: make([]byte, 4*MaxPayloadBytes)}
	allocated := allocatedBy(func() {
		_, err := Encode(KindRequest, m)
		must.ErrorIs(t, err, &result.Error{Code: result.TooLarge})
	})
	must.Less(t, 64<<10, allocated)
}

// A large message is encoded into one buffer.
func TestLargeMessageIsCopiedOnce(t *testing.T) {
	const size = MaxPayloadBytes / 2
	m := &request.Request{Body: make([]byte, size)}
	allocated := allocatedBy(func() {
		frame, err := Encode(KindRequest, m)
		must.NoError(t, err)
		decoded, err := Decode[request.Request](frame[HeaderBytes:])
		must.NoError(t, err)
		must.Eq(t, size, len(decoded.Body))
	})
	must.Less(t, 5*size/2, allocated, must.Sprint("one copy in the frame, one decoded"))
}
