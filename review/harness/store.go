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

// store is a stand-in for the platform's metadata store: objects by kind and
// name, one revision counter, conditional writes, lists and watches.
type store struct {
	rec *recorder

	mu       sync.Mutex
	changed  chan struct{} // Closed and replaced with each change.
	revision uint64
	era      uint64
	oldest   uint64 // Watches from before this revision get 410.
	objects  map[string]map[string]*object
	events   []storeEvent
	down     bool

	listener net.Listener
	conns    map[net.Conn]bool
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

type storeEvent struct {
	revision uint64
	kind     string
	Object   object `json:"object"`
	Removed  bool   `json:"removed"`
}

// storeCopy is a copy of everything that the store keeps.
type storeCopy struct {
	revision uint64
	objects  map[string]map[string]*object
}

func newStore(rec *recorder) *store {
	return &store{rec: rec, changed: make(chan struct{}), revision: 100, oldest: 100, objects: make(map[string]map[string]*object), conns: make(map[net.Conn]bool)}
}

func (s *store) start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.listener = listener
	server := &http.Server{Handler: s, ConnState: s.trackConn}
	go func() { _ = server.Serve(listener) }()
	return nil
}

func (s *store) trackConn(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.conns, c)
		return
	}
	s.conns[c] = true
}

// setDown takes the store away: its connections break and calls are reset.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	if down {
		for c := range s.conns {
			_ = c.Close()
		}
	}
}

func (s *store) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{revision: s.revision, objects: cloneObjects(s.objects)}
}

func cloneObjects(from map[string]map[string]*object) map[string]map[string]*object {
	to := make(map[string]map[string]*object)
	for kind, byName := range from {
		to[kind] = make(map[string]*object)
		for name, o := range byName {
			clone := *o
			to[kind][name] = &clone
		}
	}
	return to
}

// restore replaces the store's content by a copy and begins the next era.
// Watches from revisions that the store does not have get 410.
func (s *store) restore(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision = c.revision
	s.oldest = c.revision
	s.objects = cloneObjects(c.objects)
	s.events = nil
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.down
	era := s.era
	s.mu.Unlock()
	if down {
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_ = c.Close()
		}
		return
	}
	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	w.Header().Set("Content-Type", "application/json")
	rest, ok := strings.CutPrefix(r.URL.EscapedPath(), "/v1/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	parts := strings.Split(rest, "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name, _ = url.PathUnescape(parts[1])
	}
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
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

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	if o == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(o)
}

func (s *store) list(w http.ResponseWriter, kind, after string) {
	const pageItems = 500
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]string, 0)
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > pageItems
	if more {
		names = names[:pageItems]
	}
	items := make([]*object, 0, len(names))
	for _, name := range names {
		items = append(items, s.objects[kind][name])
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "more": more, "asOf": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	q := r.URL.Query()
	from, _ := strconv.ParseUint(q.Get("watch"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	until := time.After(time.Duration(min(waitMs, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		if from < s.oldest || from > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := make([]storeEvent, 0)
		for _, e := range s.events {
			if e.kind == kind && e.revision > from {
				events = append(events, e)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		timedOut := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-until:
				timedOut = true
			case <-r.Context().Done():
				return
			}
		}
		if len(events) > 0 || timedOut {
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "asOf": asOf})
			return
		}
	}
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
	code, stored := s.put(kind, name, create, o)
	w.WriteHeader(code)
	if stored != nil {
		_ = json.NewEncoder(w).Encode(stored)
	}
}

// put writes an object as POST (create) or PUT does, and returns the status and
// the object as it is.
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
	s.revision++
	next := &object{Metadata: metadata{Name: name, Revision: s.revision, CreateRevision: s.revision}, Spec: o.Spec}
	if held != nil {
		next.Metadata.CreateRevision = held.Metadata.CreateRevision
		next.Status = held.Status
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]*object)
	}
	s.objects[kind][name] = next
	s.events = append(s.events, storeEvent{revision: s.revision, kind: kind, Object: *next})
	s.wake()
	if create {
		return http.StatusCreated, next
	}
	return http.StatusOK, next
}

func (s *store) remove(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.objects[kind][name]
	if held == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if q := r.URL.Query().Get("revision"); q != "" && q != strconv.FormatUint(held.Metadata.Revision, 10) {
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(held)
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	gone := *held
	s.events = append(s.events, storeEvent{revision: s.revision, kind: kind, Object: gone, Removed: true})
	s.wake()
	_ = json.NewEncoder(w).Encode(held)
}

// operatorWrites stores a configuration as the operator does, and returns when
// the store confirmed it.
func (s *store) operatorWrites(config map[string]any) time.Time {
	spec, _ := json.Marshal(config)
	o := object{Metadata: metadata{Name: "main"}, Spec: spec}
	if code, _ := s.put("config", "main", true, o); code == http.StatusConflict {
		s.put("config", "main", false, o)
	}
	s.rec.line("operator: the store confirmed configuration version %v", config["version"])
	return time.Now()
}
