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
	storeRingSize      = 1024
	storeWorkers       = 3
	storeTimeout       = 2 * time.Second
	failureLogInterval = 5 * time.Second
	// recoveryGrace is how long a call that was sent while the store was
	// unreachable may take once the store answers again.
	recoveryGrace = 200 * time.Millisecond
)

type storeOp uint8

const (
	opGet storeOp = iota
	opPut
	opDelete
)

var storeOpNames = [...]string{"get", "put", "delete"}

// storeCall is a call to the store. The done function is called on a goroutine
// of the executor and must only pass the answer to the ring of a loop.
type storeCall struct {
	op        storeOp
	kind      string
	name      string
	ifVersion uint64
	value     []byte
	done      func(storeAnswer)
}

// storeAnswer is the result of a call. The object's version is the new one
// after a put, and the current one after a conflict.
type storeAnswer struct {
	code   result.Code
	object objectstore.Object
}

// storeExecutor makes the calls to the store on a pool of storeWorkers
// goroutines, so that no loop blocks on the store.
type storeExecutor struct {
	client   objectstore.Store
	log      *eventlog.Log
	ring     *ring.Ring[storeCall]
	callTime metrics.Histogram // Time of each call, answered or not, in microseconds.
	// onWritten is called for each object that was written, after its call was
	// answered.
	onWritten func(objectstore.Object)
	stop      chan struct{}
	done      sync.WaitGroup

	mu           sync.Mutex
	downSince    time.Time // zero while the store answers
	lastAnswered time.Time // time of the store's last answer, initially the daemon's start
	// recovered is closed and replaced by a new channel when the store answers
	// again after a failure.
	recovered         chan struct{}
	lastFailureLogged time.Time
}

func newStoreExecutor(client objectstore.Store, log *eventlog.Log, registry metrics.Registry) *storeExecutor {
	return &storeExecutor{
		client:    client,
		log:       log,
		ring:      ring.New[storeCall]("store", storeRingSize, registry),
		callTime:  metrics.GetOrRegisterHistogram("store.call_us", registry, metrics.NewUniformSample(latencySampleSize)),
		onWritten: func(objectstore.Object) {},
		stop:      make(chan struct{}),

		lastAnswered: time.Now(),
		recovered:    make(chan struct{}),
	}
}

func (s *storeExecutor) start() {
	for range storeWorkers {
		s.done.Add(1)
		go s.run()
	}
}

func (s *storeExecutor) close() {
	close(s.stop)
	s.done.Wait()
}

// enqueue adds a call. If the ring is full, the call is answered with
// StoreUnavailable: it was not sent.
func (s *storeExecutor) enqueue(call storeCall) {
	if !s.ring.Push(call) {
		go call.done(storeAnswer{code: result.StoreUnavailable})
	}
}

func (s *storeExecutor) run() {
	defer s.done.Done()
	for {
		select {
		case call := <-s.ring.Items():
			answer := s.execute(call)
			call.done(answer)
			if call.op == opPut && answer.code == result.OK {
				s.onWritten(objectstore.Object{Kind: call.kind, Name: call.name, Version: answer.object.Version, Value: call.value})
			}
		case <-s.stop:
			return
		}
	}
}

// execute makes a call and returns its answer. A call that was lost while the
// store was unreachable would otherwise block its worker until it times out,
// long after the store has recovered: such a call is given up recoveryGrace
// after the recovery and counts as not answered.
func (s *storeExecutor) execute(call storeCall) storeAnswer {
	recovered := s.recoverySignal()
	began := time.Now()
	answers := make(chan storeAnswer, 1)
	go func() { answers <- s.perform(call) }()
	select {
	case a := <-answers:
		return a
	case <-recovered:
	}
	select {
	case a := <-answers:
		return a
	case <-time.After(recoveryGrace):
	}
	s.log.Event(event.StoreCallGivenUp, "op", storeOpNames[call.op], "object", call.kind+"/"+call.name, "after_ms", time.Since(began).Milliseconds())
	return unansweredResult(call)
}

// unansweredResult returns the answer for a call that the store did not answer:
// a write may or may not take effect.
func unansweredResult(call storeCall) storeAnswer {
	code := result.StoreDoubt
	if call.op == opGet {
		code = result.StoreUnavailable
	}
	return storeAnswer{code: code, object: objectstore.Object{Kind: call.kind, Name: call.name}}
}

// recoverySignal returns a channel that is closed when the store answers again
// after a failure.
func (s *storeExecutor) recoverySignal() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recovered
}

// perform makes a call and waits for the answer of the store client.
func (s *storeExecutor) perform(call storeCall) storeAnswer {
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
	s.callTime.Update(time.Since(began).Microseconds())
	answer.code = objectstore.CodeOf(err)
	s.recordResult(storeOpNames[call.op], call.kind+"/"+call.name, err)
	return answer
}

// recordResult tracks from the result of a call whether the store is reachable,
// and logs changes. Failures are logged at most once every failureLogInterval.
func (s *storeExecutor) recordResult(op, object string, err error) {
	code := objectstore.CodeOf(err)
	failed := code == result.StoreUnavailable || code == result.StoreDoubt
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !failed {
		s.lastAnswered = now
		if !s.downSince.IsZero() {
			s.log.Event(event.StoreReachable, "after_ms", now.Sub(s.downSince).Milliseconds())
			close(s.recovered)
			s.recovered = make(chan struct{})
		}
		s.downSince = time.Time{}
		return
	}
	if s.downSince.IsZero() {
		s.downSince = now
	}
	if now.Sub(s.lastFailureLogged) > failureLogInterval {
		s.lastFailureLogged = now
		s.log.Event(event.StoreCallFailed, "op", op, "object", object, "cause", err.Error())
	}
}

// lastAnswer returns when the store last answered.
func (s *storeExecutor) lastAnswer() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastAnswered
}

// reachable reports whether the last call was answered.
func (s *storeExecutor) reachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.downSince.IsZero()
}
