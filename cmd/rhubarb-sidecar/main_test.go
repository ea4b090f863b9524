package main

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"github.com/valyala/fasthttp"

	"github.com/rhubarbring/rhubarbring/event"
	"github.com/rhubarbring/rhubarbring/platform"
)

const settingsText = `{
  "daemon": {"host": "side-1", "region": "north", "zone": "north-1", "environment": "production",
    "peer": "127.0.0.1:7000", "control": "127.0.0.1:7001", "caller": "127.0.0.1:8001", "store": "STORE"},
  "platform": {
    "service": "one", "target_address": "127.0.0.1:8003", "announce": "127.0.0.1:8004", "ready": "127.0.0.1:8005",
    "regions": {"north-1": "north", "south-1": "south"}, "grace": "6s",
    "link": {"bits_per_second": 30000000, "request_share": 0.8, "control_share": 0.1},
    "app": {"slices": 512, "deadline": {"default": "5s", "maximum": "30s"}, "targets_check_grants": true, "queue_bound": 256,
      "weights": {"imbalance": 6, "churn": 1, "unavailable": 3}, "max_moves_per_round": 64, "retry_budget": 0.1},
    "alarm": {"unowned_key": "5s", "document_not_in_force": "10s", "assignment_at_risk": "5s", "cannot_see": "30s"}
  }
}`

// startStore starts a store that has no objects and returns its address, and a
// channel that gets a value for each call.
func startStore(t *testing.T) (string, chan bool) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	calls := make(chan bool, 100)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		calls <- true
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String(), calls
}

// A changed address of the store holds for all sessions from then on: the process
// has one client of the store, and follows its settings between sessions as well.
func TestStoreClientFollowsSettingsAcrossSessions(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	write := func(store string) {
		must.NoError(t, os.WriteFile(path, []byte(strings.ReplaceAll(settingsText, "STORE", store)), 0o600))
	}
	first, _ := startStore(t)
	second, calls := startStore(t)
	write(first)
	s, err := platform.LoadSettings(path)
	must.NoError(t, err)
	p := newProcess(path, s, event.Warn)
	done := make(chan struct{})
	defer close(done)
	go p.watchSettings(done)
	must.Wait(t, wait.InitialSuccess(
		wait.BoolFunc(func() bool {
			write(second)
			p.reload <- syscall.SIGHUP
			_, _ = p.store.Get("placement", "leader")
			return len(calls) > 0
		}),
		wait.Timeout(10*time.Second), wait.Gap(20*time.Millisecond),
	))
}
