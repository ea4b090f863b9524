package main

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	firstRevision = 100
	pageItems     = 500
	maxWatchMs    = 30000
	objectsPath   = "/v1/objects/"
)

// store stands in for the platform's metadata store: objects by kind and name, one
// revision counter, conditional writes, lists and watches.
type store struct {
	mu       sync.Mutex
	changed  chan struct{} // Closed and replaced with each change.
	revision uint64
	objects  map[string]map[string]*object
	events   []objectEvent
	server   *http.Server
	address  string
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name           string   `json:"name"`
	Revision       uint64   `json:"revision"`
	CreateRevision uint64   `json:"createRevision"`
	Finalizers     []string `json:"finalizers"`
	Deleting       bool     `json:"deleting"`
}

type objectEvent struct {
	kind     string
	revision uint64
	Object   object `json:"object"`
	Removed  bool   `json:"removed"`
}

func startStore(address string) (*store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{changed: make(chan struct{}), revision: firstRevision, objects: make(map[string]map[string]*object), address: listener.Addr().String()}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *store) close() {
	_ = s.server.Close()
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	rest, ok := strings.CutPrefix(r.URL.EscapedPath(), objectsPath)
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, escaped, _ := strings.Cut(rest, "/")
	name, err := url.PathUnescape(escaped)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, r.URL.Query().Get("after"))
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.write(w, r, kind, name)
	case r.Method == http.MethodDelete:
		s.remove(w, r, kind, name)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func answer(w http.ResponseWriter, status int, value any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o := s.objects[kind][name]
	s.mu.Unlock()
	if o == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, o)
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	names := make([]string, 0)
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > pageItems
	names = names[:min(len(names), pageItems)]
	items := make([]*object, 0, len(names))
	for _, name := range names {
		items = append(items, s.objects[kind][name])
	}
	asOf := s.revision
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": items, "more": more, "asOf": asOf})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	until := time.After(time.Duration(min(waitMs, maxWatchMs)) * time.Millisecond)
	isOver := false
	for {
		events, asOf, changed := s.since(kind, from)
		if len(events) > 0 || isOver {
			answer(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-until:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) since(kind string, revision uint64) ([]objectEvent, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := make([]objectEvent, 0)
	first := sort.Search(len(s.events), func(i int) bool { return s.events[i].revision > revision })
	for _, e := range s.events[first:] {
		if e.kind == kind {
			events = append(events, e)
		}
	}
	return events, s.revision, s.changed
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	create := r.Method == http.MethodPost
	if create {
		name = o.Metadata.Name
	}
	status, stored := s.put(kind, name, create, o)
	if stored == nil {
		w.WriteHeader(status)
		return
	}
	answer(w, status, stored)
}

// put creates or replaces an object, and returns the status and the object as it is.
func (s *store) put(kind, name string, create bool, o object) (int, *object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.objects[kind][name]
	switch {
	case create && held != nil:
		return http.StatusConflict, held
	case !create && held == nil:
		return http.StatusNotFound, nil
	case !create && o.Metadata.Revision != 0 && o.Metadata.Revision != held.Metadata.Revision:
		return http.StatusConflict, held
	case !create && bytes.Equal(held.Spec, o.Spec):
		return http.StatusOK, held
	}
	next := &object{Metadata: metadata{Name: name, CreateRevision: s.revision + 1, Finalizers: []string{}}, Spec: o.Spec}
	if held != nil {
		next.Metadata.CreateRevision = held.Metadata.CreateRevision
		next.Status = held.Status
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]*object)
	}
	s.objects[kind][name] = next
	next.Metadata.Revision = s.revision + 1
	s.record(kind, *next, false)
	if create {
		return http.StatusCreated, next
	}
	return http.StatusOK, next
}

// record adds an event at the next revision. The mutex must be held.
func (s *store) record(kind string, o object, removed bool) {
	s.revision++
	s.events = append(s.events, objectEvent{kind: kind, revision: s.revision, Object: o, Removed: removed})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) remove(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.mu.Lock()
	held := s.objects[kind][name]
	status := http.StatusOK
	condition := r.URL.Query().Get("revision")
	switch {
	case held == nil:
		status = http.StatusNotFound
	case condition != "" && condition != strconv.FormatUint(held.Metadata.Revision, 10):
		status = http.StatusConflict
	default:
		delete(s.objects[kind], name)
		s.record(kind, *held, true)
	}
	s.mu.Unlock()
	answer(w, status, held)
}

// configure writes the operator's configuration.
func (s *store) configure(version int, routes [][]any, services [][]any) error {
	config := map[string]any{
		"version":  version,
		"routes":   map[string]any{"columns": []string{"name", "host", "pathPrefix", "kind", "timeout", "targetLatency", "priority", "split", "maxAttempts", "service"}, "rows": routes},
		"services": map[string]any{"columns": []string{"name", "healthPath", "maxConns", "protocol", "tls", "sharded", "warm", "grants"}, "rows": services},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
	}
	spec, err := json.Marshal(config)
	if err != nil {
		return err
	}
	s.mu.Lock()
	create := s.objects["config"]["main"] == nil
	s.mu.Unlock()
	s.put("config", "main", create, object{Metadata: metadata{Name: "main"}, Spec: spec})
	return nil
}
