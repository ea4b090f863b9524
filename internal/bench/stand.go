package bench

import (
	_ "embed" // The document of the bench.
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/internal/control"
	"github.com/rhubarbring/rhubarbring/internal/listen"
	"github.com/rhubarbring/rhubarbring/internal/settings"
	"github.com/rhubarbring/rhubarbring/internal/storeclient"
	"github.com/rhubarbring/rhubarbring/internal/storestand"
	"github.com/rhubarbring/rhubarbring/result"
)

const (
	environment   = "bench"
	app           = "bench"
	body          = `{"page":"a short body, as most requests have"}`
	daemons       = 2
	portsEach     = 10
	portsOfDaemon = 4
	slots         = 256
	connections   = 512
	storeHistory  = 10000
	storeTimeout  = 2 * time.Second
	announceEvery = time.Second
	readyPatience = 20 * time.Second
	readyPoll     = 50 * time.Millisecond
	keysTried     = 1000
	fileMode      = 0o644
	clockTicks    = 100 // of processor time a second, in /proc
	statUser      = 11  // fields of /proc/PID/stat after the command's name
	statSystem    = 12
)

//go:embed document.json
var benchDocument []byte

// stand is a store, a pair of daemons and their targets.
type stand struct {
	cfg     Config
	binary  string
	level   string
	port    int
	store   *storestand.Server
	daemons []int // process ids, as their files say
	targets []*fasthttp.Server
	stop    chan struct{}
}

func newStand(cfg Config, binary, level string, port int) *stand {
	return &stand{cfg: cfg, binary: binary, level: level, port: port, stop: make(chan struct{})}
}

func startStand(cfg Config, binary, level string, port int) (*stand, error) {
	s := newStand(cfg, binary, level, port)
	if err := s.startStore(); err != nil {
		return s, err
	}
	for i := range daemons {
		if err := s.startTarget(i); err != nil {
			return s, err
		}
		if err := s.findDaemon(i); err != nil {
			return s, err
		}
	}
	return s, s.awaitReady()
}

func address(port int) string {
	return "127.0.0.1:" + strconv.Itoa(port)
}

func (s *stand) peer(i int) string    { return address(s.port + 1 + i*portsOfDaemon) }
func (s *stand) control(i int) string { return address(s.port + 2 + i*portsOfDaemon) }
func (s *stand) caller(i int) string  { return address(s.port + 3 + i*portsOfDaemon) }
func (s *stand) target(i int) string  { return address(s.port + 4 + i*portsOfDaemon) }
func (s *stand) host(i int) string    { return fmt.Sprintf("%s-%d-%d", s.level, s.port, i) }

func (s *stand) startStore() error {
	s.store = storestand.New(storestand.Config{Seed: s.cfg.Seed, History: storeHistory})
	listener, err := listen.TCP("base-port", address(s.port))
	if err != nil {
		return err
	}
	go func() { _ = s.store.Serve(listener) }()
	stored := document.Stored{Version: 1, Hash: document.HashOf(benchDocument), Content: string(benchDocument), Token: "bench", Who: "bench"}
	raw, err := stored.Encode()
	if err != nil {
		return err
	}
	_, err = storeclient.New(address(s.port), storeTimeout).Put(document.Kind, environment, 0, raw)
	return err
}

// startTarget starts a target that answers each request with its body after
// the service time, and that tells its daemon so every second.
func (s *stand) startTarget(i int) error {
	listener, err := listen.TCP("base-port", s.target(i))
	if err != nil {
		return err
	}
	server := &fasthttp.Server{Handler: s.serve, Name: "rhubarb-bench"}
	s.targets = append(s.targets, server)
	go func() { _ = server.Serve(listener) }()
	go s.announce(i)
	return nil
}

func (s *stand) serve(ctx *fasthttp.RequestCtx) {
	if s.cfg.Service > 0 {
		time.Sleep(s.cfg.Service)
	}
	ctx.Response.Header.SetBytesV("Rhubarb-Request-Id", ctx.Request.Header.Peek("Rhubarb-Request-Id"))
	ctx.Response.Header.SetBytesV("Rhubarb-Attempt", ctx.Request.Header.Peek("Rhubarb-Attempt"))
	ctx.SetContentType("application/json")
	ctx.SetBody(ctx.PostBody())
}

func (s *stand) announce(i int) {
	raw, err := json.Marshal(control.Announcement{
		App: app, Address: s.target(i), Slots: slots, Connections: connections, ChecksGrants: true, State: control.StateWarm,
	})
	if err != nil {
		return
	}
	tick := time.NewTicker(announceEvery)
	defer tick.Stop()
	for {
		s.tell(i, raw)
		select {
		case <-s.stop:
			return
		case <-tick.C:
		}
	}
}

func (s *stand) tell(i int, raw []byte) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + s.control(i) + "/target/announce")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBody(raw)
	_ = fasthttp.DoTimeout(req, resp, storeTimeout)
}

// file returns the path of a daemon's file of a kind.
func (s *stand) file(i int, kind string) string {
	return filepath.Join(s.cfg.Dir, s.host(i)+kind)
}

func (s *stand) settings(i int) settings.Daemon {
	d := settings.Daemon{
		Host:        host.ID(s.host(i)),
		Region:      "here",
		Zone:        host.Zone(fmt.Sprintf("here-%d", i+1)),
		Environment: environment,
		Peer:        s.peer(i),
		Control:     s.control(i),
		Caller:      s.caller(i),
		Store:       address(s.port),
		Log:         settings.Log{File: s.file(i, ".log"), Level: s.level},
		Seed:        s.cfg.Seed + uint64(i),
	}
	if s.cfg.Profiles > 0 {
		d.DebugAddress = address(s.cfg.Profiles + s.port - s.cfg.BasePort + i)
	}
	return d
}

// plan writes the daemons' settings and, for each, a line with the file that
// its process id is to be put in and the command that starts it.
func (s *stand) plan(out io.Writer) error {
	for i := range daemons {
		raw, err := json.Marshal(s.settings(i))
		if err != nil {
			return err
		}
		if err := os.WriteFile(s.file(i, ".json"), raw, fileMode); err != nil {
			return err
		}
		fmt.Fprintf(out, "%s\t%s --settings %s\n", s.file(i, ".pid"), s.binary, s.file(i, ".json"))
	}
	return nil
}

// findDaemon reads the process id of a daemon that was started by the plan.
func (s *stand) findDaemon(i int) error {
	raw, err := os.ReadFile(s.file(i, ".pid"))
	if err != nil {
		return err
	}
	id, err := strconv.Atoi(strings.TrimSpace(string(raw)))
	if err != nil {
		return err
	}
	s.daemons = append(s.daemons, id)
	return nil
}

func (s *stand) awaitReady() error {
	end := time.Now().Add(readyPatience)
	for i := range daemons {
		for !ready(s.control(i)) {
			if time.Now().After(end) {
				return &result.Error{Code: result.NotConfigured, Detail: s.host(i) + " is not ready in time"}
			}
			time.Sleep(readyPoll)
		}
	}
	return nil
}

func ready(address string) bool {
	status, _, err := fasthttp.GetTimeout(nil, "http://"+address+"/ready", storeTimeout)
	return err == nil && status == fasthttp.StatusOK
}

func (s *stand) direct() route {
	return route{address: s.target(0), path: "/items", key: "direct"}
}

// routes returns the ways over the owner's daemon alone and over the other
// one, with the same key.
func (s *stand) routes() (one, two route, err error) {
	path := "/app/" + app + "/items"
	client := newClient(s.caller(0), 1)
	defer client.CloseIdleConnections()
	for i := range keysTried {
		one = route{address: s.caller(0), path: path, key: "k" + strconv.Itoa(i), daemons: s.daemons}
		if owner, ok := send(client, one); ok && owner == s.host(0) {
			two = one
			two.address = s.caller(1)
			return one, two, nil
		}
	}
	return one, two, &result.Error{Code: result.NotOwner, Detail: s.host(0) + " owns no key"}
}

func (s *stand) close() {
	close(s.stop)
	for _, t := range s.targets {
		_ = t.Shutdown()
	}
	_ = s.store.Close()
}

// processorTime returns what the processes have used so far.
func processorTime(ids []int) time.Duration {
	total := time.Duration(0)
	for _, id := range ids {
		raw, err := os.ReadFile("/proc/" + strconv.Itoa(id) + "/stat")
		if err != nil {
			return 0
		}
		_, rest, _ := strings.Cut(string(raw), ") ")
		fields := strings.Fields(rest)
		if len(fields) <= statSystem {
			return 0
		}
		for _, at := range []int{statUser, statSystem} {
			ticks, _ := strconv.ParseInt(fields[at], 10, 64)
			total += time.Duration(ticks) * time.Second / clockTicks
		}
	}
	return total
}
