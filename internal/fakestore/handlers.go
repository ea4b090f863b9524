package fakestore

import (
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// listAnswer is the answer to a list.
type listAnswer struct {
	Items    []Object `json:"items"`
	Revision uint64   `json:"revision"`
	Next     string   `json:"next"`
}

// watchAnswer is the answer to a watch.
type watchAnswer struct {
	Events   []Event `json:"events"`
	Revision uint64  `json:"revision"`
}

func (s *Server) handleObject(ctx *fasthttp.RequestCtx, kind, name string) {
	switch {
	case ctx.IsGet():
		s.handleGet(ctx, kind, name)
	case ctx.IsPut():
		s.handlePut(ctx, kind, name)
	case ctx.IsDelete():
		s.handleDelete(ctx, kind, name)
	default:
		ctx.Error("no such method", fasthttp.StatusMethodNotAllowed)
	}
}

func (s *Server) handleGet(ctx *fasthttp.RequestCtx, kind, name string) {
	if _, ok := s.admit(ctx, kind, MethodGet); !ok {
		return
	}
	s.mu.Lock()
	object, ok := s.objects.Get(kind, name)
	s.mu.Unlock()
	if !ok {
		ctx.Error("no such object", fasthttp.StatusNotFound)
		return
	}
	setVersion(ctx, object.Version)
	ctx.SetContentType("application/octet-stream")
	ctx.SetBody(object.Value)
}

func (s *Server) handlePut(ctx *fasthttp.RequestCtx, kind, name string) {
	value := slices.Clone(ctx.PostBody())
	if len(value) > MaxValueBytes {
		ctx.Error("value above 1 MiB", fasthttp.StatusRequestEntityTooLarge)
		return
	}
	s.write(ctx, kind, MethodPut, func(ifVersion uint64) (uint64, WriteOutcome) {
		return s.objects.Put(kind, name, ifVersion, value)
	})
}

func (s *Server) handleDelete(ctx *fasthttp.RequestCtx, kind, name string) {
	s.write(ctx, kind, MethodDelete, func(ifVersion uint64) (uint64, WriteOutcome) {
		return s.objects.Delete(kind, name, ifVersion)
	})
}

// write reads the condition of a write, applies the fault in force and, unless
// that refuses the call, applies the write and answers. A late write is refused
// now and applied after its delay, under its original condition.
func (s *Server) write(ctx *fasthttp.RequestCtx, kind string, m Method, apply func(uint64) (uint64, WriteOutcome)) {
	ifVersion, err := strconv.ParseUint(string(ctx.Request.Header.Peek(ifVersionHeader)), 10, 64)
	if err != nil {
		ctx.Error("the header If-Version is missing or not a number", fasthttp.StatusBadRequest)
		return
	}
	d, ok := s.admit(ctx, kind, m)
	if d.lateBy > 0 {
		time.AfterFunc(d.lateBy, func() { s.applyWrite(ifVersion, apply) })
	}
	if !ok {
		return
	}
	version, outcome := s.applyWrite(ifVersion, apply)
	if d.loseAnswer {
		hangUp(ctx)
		return
	}
	answerWrite(ctx, version, outcome)
}

func (s *Server) applyWrite(ifVersion uint64, apply func(uint64) (uint64, WriteOutcome)) (uint64, WriteOutcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return apply(ifVersion)
}

func answerWrite(ctx *fasthttp.RequestCtx, version uint64, outcome WriteOutcome) {
	switch outcome {
	case Conflict:
		ctx.Error("version conflict", fasthttp.StatusConflict)
	case NotFound:
		ctx.Error("no such object", fasthttp.StatusNotFound)
	}
	setVersion(ctx, version)
}

func (s *Server) handleList(ctx *fasthttp.RequestCtx, kind string) {
	if _, ok := s.admit(ctx, kind, MethodList); !ok {
		return
	}
	args := ctx.QueryArgs()
	limit, err := args.GetUint("limit")
	if err != nil || limit == 0 || limit > MaxListItems {
		limit = MaxListItems
	}
	s.mu.Lock()
	items, next := s.objects.List(kind, string(args.Peek("after")), limit)
	answer := listAnswer{Items: items, Revision: s.objects.Revision(), Next: next}
	s.mu.Unlock()
	if answer.Items == nil {
		answer.Items = []Object{}
	}
	writeJSON(ctx, answer)
}

func (s *Server) handleWatch(ctx *fasthttp.RequestCtx, kind string) {
	if _, ok := s.admit(ctx, kind, MethodWatch); !ok {
		return
	}
	revision, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("revision")), 10, 64)
	if err != nil {
		ctx.Error("the argument revision is missing or not a number", fasthttp.StatusBadRequest)
		return
	}
	over := time.NewTimer(watchWait(ctx))
	defer over.Stop()
	for {
		w, known := s.viewForWatch(kind, revision)
		if w.outage {
			hangUp(ctx)
			return
		}
		if !known {
			ctx.Error("revision too old", fasthttp.StatusGone)
			return
		}
		if len(w.answer.Events) > 0 {
			writeJSON(ctx, w.answer)
			return
		}
		select {
		case <-w.changed:
		case <-w.faultChanged:
		case <-over.C:
			writeJSON(ctx, w.answer)
			return
		case <-s.closing:
			hangUp(ctx)
			return
		}
	}
}

// watchView is what a watch finds when it checks for changes, and the channels
// that it waits on before the next check.
type watchView struct {
	answer       watchAnswer
	changed      <-chan struct{}
	faultChanged <-chan struct{}
	outage       bool
}

// viewForWatch returns the changes of a kind after a revision, and whether all
// of them are still kept.
func (s *Server) viewForWatch(kind string, revision uint64) (watchView, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events, known := s.objects.Since(kind, revision)
	if events == nil {
		events = []Event{}
	}
	return watchView{
		answer:       watchAnswer{Events: events, Revision: s.objects.Revision()},
		changed:      s.objects.Changed(kind),
		faultChanged: s.faults.changed,
		outage:       s.faults.current(kind, time.Now()).Outage,
	}, known
}

func watchWait(ctx *fasthttp.RequestCtx) time.Duration {
	ms, err := ctx.QueryArgs().GetUint("wait")
	if err != nil {
		return DefaultWatchWait
	}
	return min(time.Duration(ms)*time.Millisecond, MaxWatchWait)
}
