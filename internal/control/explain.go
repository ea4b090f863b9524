package control

import (
	"errors"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/rhubarbring/rhubarbring/internal/explain"
	"github.com/rhubarbring/rhubarbring/key"
	"github.com/rhubarbring/rhubarbring/result"
)

// explainRequest answers a question about a request. A wrong question gets 400, a
// host, path or app that the document does not have 404, and a daemon that can't
// answer now 503.
func (s *Server) explainRequest(ctx *fasthttp.RequestCtx) {
	q, err := parseQuery(ctx.QueryArgs())
	if err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, err)
		return
	}
	answer, err := s.daemon.ExplainRequest(q)
	if err != nil {
		writeError(ctx, explainStatus(err), err)
		return
	}
	writeJSON(ctx, answer)
}

func parseQuery(args *fasthttp.Args) (explain.Query, error) {
	q := explain.Query{
		Host:   string(args.Peek("host")),
		Path:   string(args.Peek("path")),
		App:    key.App(args.Peek("app")),
		Key:    string(args.Peek("key")),
		Method: string(args.Peek("method")),
	}
	text := string(args.Peek("bytes"))
	if text == "" {
		return q, nil
	}
	var err error
	if q.Bytes, err = strconv.Atoi(text); err != nil {
		return q, &result.Error{Code: result.BadRequest, Field: "bytes", Detail: strconv.Quote(text) + " is not a whole number", Remedy: "write the size of the request's body"}
	}
	return q, nil
}

func explainStatus(err error) int {
	var e *result.Error
	if !errors.As(err, &e) {
		return fasthttp.StatusInternalServerError
	}
	switch e.Code {
	case result.BadRequest:
		return fasthttp.StatusBadRequest
	case result.UnknownApp, result.UnknownRoute:
		return fasthttp.StatusNotFound
	}
	return fasthttp.StatusServiceUnavailable
}
