package objectstore

import (
	"errors"
	"net"

	"github.com/valyala/fasthttp"

	"github.com/rhubarbring/rhubarbring/result"
)

// TransportError converts the transport error of a store call that got no
// response to a *result.Error. A write is in doubt unless the request was never
// sent.
func TransportError(method, path string, err error) error {
	code := result.StoreDoubt
	if method == fasthttp.MethodGet || neverSent(err) {
		code = result.StoreUnavailable
	}
	return &result.Error{Code: code, Field: path, Cause: err}
}

// neverSent reports whether an error means that no connection was available, so
// that the request was not sent.
func neverSent(err error) bool {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return true
	}
	return errors.Is(err, fasthttp.ErrDialTimeout) || errors.Is(err, fasthttp.ErrNoFreeConns)
}
