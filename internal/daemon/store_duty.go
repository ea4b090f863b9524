package daemon

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/internal/eventlog"
	"github.com/rhubarbring/rhubarbring/internal/objectstore"
	"github.com/rhubarbring/rhubarbring/internal/ring"
	"github.com/rhubarbring/rhubarbring/result"
)

const (
	storeRingSize  = 1024
	storeWorkers   = 3
	storeTimeout   = 2 * time.Second
	failureLogOnce = 5 * time.Second
	// returnGrace is how long a call that was sent while the store did not
	// answer is waited for once it answers again.
	returnGrace = 200 * time.Millisecond
)

type storeOp uint8

const (
	opGet storeOp = iota
	opPut
	opDelete
)

var storeOpNames = [...]string{"get", "put", "delete"}

// storeCall is one call to the store that a duty asks for. Done is called on
// a worker and must only hand the answer to the duty's ring.
type storeCall struct {
	op        storeOp
	kind      string
	name      string
	ifVersion uint64
	value     []byte
	done      func(storeAnswer)
}

// storeAnswer is the result of a call. The object's version is the new one
// after a put, or the current one after a conflict.
type storeAnswer struct {
	code   result.Code
	object objectstore.Object
}

// storeDuty makes the calls to the store for all other duties, so that none
// of them waits for it.
type storeDuty struct {
	client objectstore.Store
	log    *eventlog.Log
	ring   *ring.Ring[storeCall]
	took   metrics.Histogram // Time of each call, answered or not, in microseconds.
	stop   chan struct{}
	done   sync.WaitGroup

	mu        sync.Mutex
	downSince time.Time // zero while the store answers
	answered  time.Time // when it last did; when this daemon began if it never did
	// returned is closed when the store answers again, and made anew.
	returned chan struct{}
	loggedAt time.Time
}

func newStoreDuty(client objectstore.Store, log *eventlog.Log, registry metrics.Registry) *storeDuty {
	return &storeDuty{
		client: client,
		log:    log,
		ring:   ring.New[storeCall]("store", storeRingSize, registry),
		took:   metrics.GetOrRegisterHistogram("store.call_us", registry, metrics.NewUniformSample(latencySample)),
		stop:   make(chan struct{}),

		answered: time.Now(),
		returned: make(chan struct{}),
	}
}

func (s *storeDuty) start() {
	for range storeWorkers {
		s.done.Add(1)
		go s.run()
	}
}

func (s *storeDuty) close() {
	close(s.stop)
	s.done.Wait()
}

// ask hands a call over. A full ring answers at once that nothing was sent.
func (s *storeDuty) ask(call storeCall) {
	if !s.ring.Push(call) {
		go call.done(storeAnswer{code: result.StoreUnavailable})
	}
}

func (s *storeDuty) run() {
	defer s.done.Done()
	for {
		select {
		case call := <-s.ring.Items():
			call.done(s.make(call))
		case <-s.stop:
			return
		}
	}
}

// make makes a call. One that was lost while the store was away would be waited
// for long after the store is back: it is given up then, and counts as not
// answered.
func (s *storeDuty) make(call storeCall) storeAnswer {
	returned := s.untilReturn()
	began := time.Now()
	answers := make(chan storeAnswer, 1)
	go func() { answers <- s.send(call) }()
	select {
	case a := <-answers:
		return a
	case <-returned:
	}
	select {
	case a := <-answers:
		return a
	case <-time.After(returnGrace):
	}
	s.log.Event(event.StoreCallGivenUp, "op", storeOpNames[call.op], "object", call.kind+"/"+call.name, "after_ms", time.Since(began).Milliseconds())
	return unanswered(call)
}

// unanswered is what is known of a call that got no answer: a write may land.
func unanswered(call storeCall) storeAnswer {
	code := result.StoreDoubt
	if call.op == opGet {
		code = result.StoreUnavailable
	}
	return storeAnswer{code: code, object: objectstore.Object{Kind: call.kind, Name: call.name}}
}

// untilReturn returns a channel that is closed when the store answers again
// after it has not.
func (s *storeDuty) untilReturn() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.returned
}

func (s *storeDuty) send(call storeCall) storeAnswer {
	answer := storeAnswer{object: objectstore.Object{Kind: call.kind, Name: call.name}}
	began := time.Now()
	var err error
	switch call.op {
	case opGet:
		answer.object, err = s.client.Get(call.kind, call.name)
	case opPut:
		answer.object.Version, err = s.client.Put(call.kind, call.name, call.ifVersion, call.value)
	case opDelete:
		err = s.client.Delete(call.kind, call.name, call.ifVersion)
	}
	s.took.Update(time.Since(began).Microseconds())
	answer.code = objectstore.CodeOf(err)
	s.note(storeOpNames[call.op], call.kind+"/"+call.name, err)
	return answer
}

// note follows whether the store can be reached, and logs the changes.
func (s *storeDuty) note(op, object string, err error) {
	code := objectstore.CodeOf(err)
	failed := code == result.StoreUnavailable || code == result.StoreDoubt
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !failed {
		s.answered = now
		if !s.downSince.IsZero() {
			s.log.Event(event.StoreReachable, "after_ms", now.Sub(s.downSince).Milliseconds())
			close(s.returned)
			s.returned = make(chan struct{})
		}
		s.downSince = time.Time{}
		return
	}
	if s.downSince.IsZero() {
		s.downSince = now
	}
	if now.Sub(s.loggedAt) > failureLogOnce {
		s.loggedAt = now
		s.log.Event(event.StoreCallFailed, "op", op, "object", object, "cause", err.Error())
	}
}

// lastAnswer returns when the store last answered.
func (s *storeDuty) lastAnswer() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answered
}

// reachable reports whether the last call was answered.
func (s *storeDuty) reachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.downSince.IsZero()
}
