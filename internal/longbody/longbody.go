// Package longbody carries a request's body that is too long to be held in memory from
// the caller's connection to the gate that runs the request. The request goes its way
// without the body. The entry daemon keeps that as a reader, under a token, and the
// gate's daemon reads it from there when the target is to get it, over a connection of its
// own, whose flow control holds the caller back. A body can be read once.
package longbody

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/rhubarbring/rhubarbring/request"
	"github.com/rhubarbring/rhubarbring/result"
)

// Path is the path, before the token, at which a daemon's control address serves bodies.
const Path = "/bodies/"

const tokenBytes = 16

// Body is the body of a request whose caller is connected to this daemon. It is read by
// one goroutine.
type Body struct {
	// Length is the number of bytes, or -1 if it is not known.
	Length int64
	r      io.Reader
	once   sync.Once
	ended  chan struct{}
}

// Read implements io.Reader. It returns io.EOF only after the whole body.
func (b *Body) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if err != nil {
		_ = b.Close()
	}
	return n, err
}

// Close ends the reading of the body.
func (b *Body) Close() error {
	b.once.Do(func() { close(b.ended) })
	return nil
}

// Ended is closed once nobody reads the body any more.
func (b *Body) Ended() <-chan struct{} {
	return b.ended
}

// Registry holds the bodies that wait to be read. It is safe for concurrent use.
type Registry struct {
	mu      sync.Mutex
	waiting map[string]*Body
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{waiting: make(map[string]*Body)}
}

// Add adds a body and returns it with its token. Its length is -1 if it is not known.
func (g *Registry) Add(r io.Reader, length int64) (string, *Body) {
	b := &Body{Length: length, r: r, ended: make(chan struct{})}
	raw := make([]byte, tokenBytes)
	_, _ = rand.Read(raw) // Never fails.
	token := hex.EncodeToString(raw)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting[token] = b
	return token, b
}

// Take removes and returns the body with a token, or nil if there is none. The caller
// reads and closes it.
func (g *Registry) Take(token string) *Body {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.waiting[token]
	delete(g.waiting, token)
	return b
}

// Exact returns a reader of exactly so many bytes. It returns io.ErrUnexpectedEOF if r
// has fewer, and io.EOF with the last of them.
func Exact(r io.Reader, length int64) io.Reader {
	return &exact{r: r, left: length}
}

type exact struct {
	r    io.Reader
	left int64
}

func (e *exact) Read(p []byte) (int, error) {
	if e.left == 0 {
		return 0, io.EOF
	}
	n, err := e.r.Read(p[:min(int64(len(p)), e.left)])
	e.left -= int64(n)
	switch {
	case e.left == 0:
		return n, io.EOF
	case errors.Is(err, io.EOF):
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// AtMost returns a reader of r that fails with TooLarge beyond a number of bytes.
func AtMost(r io.Reader, limit int64) io.Reader {
	return &atMost{r: r, left: limit}
}

type atMost struct {
	r    io.Reader
	left int64
}

func (a *atMost) Read(p []byte) (int, error) {
	n, err := a.r.Read(p)
	a.left -= int64(n)
	if a.left < 0 {
		return 0, &result.Error{Code: result.TooLarge, Detail: "the body exceeds its limit"}
	}
	return n, err
}

// client reads bodies from other daemons, each over a connection of its own.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// Open begins to read a body at the entry daemon, and returns ErrGone if that does not have
// it any more. Reading it fails before its end if the caller or the daemon does not
// send it all. It ends with the context.
func Open(ctx context.Context, b request.LongBody) (io.ReadCloser, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.Address+Path+b.Token, nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK || resp.ContentLength != b.Length {
		_ = resp.Body.Close()
		return nil, ErrGone
	}
	return resp.Body, nil
}

// ErrGone means that the entry daemon does not have the body, or not any more.
var ErrGone = errors.New("the entry daemon does not have the body any more")
