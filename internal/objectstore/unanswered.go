package objectstore

import (
	"errors"
	"net"

	"github.com/valyala/fasthttp"

	"github.com/rhubarbring/rhubarbring/result"
)

// Unanswered returns what a call to a store without an answer means, as a
// *result.Error: a write is in doubt unless the connection was never made.
func Unanswered(method, path string, err error) error {
	code := result.StoreDoubt
	if method == fasthttp.MethodGet || neverSent(err) {
		code = result.StoreUnavailable
	}
	return &result.Error{Code: code, Field: path, Cause: err}
}

func neverSent(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return true
	}
	return errors.Is(err, fasthttp.ErrDialTimeout) || errors.Is(err, fasthttp.ErrNoFreeConns)
}
