package bench

import (
	_ "embed" // For document.json.
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
	"github.com/rhubarbring/rhubarbring/internal/fakestore"
	"github.com/rhubarbring/rhubarbring/internal/listen"
	"github.com/rhubarbring/rhubarbring/internal/settings"
	"github.com/rhubarbring/rhubarbring/internal/storeclient"
	"github.com/rhubarbring/rhubarbring/result"
)

const (
	environment         = "bench"
	appName             = "bench"
	requestBody         = `{"page":"a short body, as most requests have"}`
	daemonsPerPair      = 2
	portsPerPair        = 10
	portsPerDaemon      = 4
	slots               = 256
	connections         = 512
	storeHistory        = 10000
	controlTimeout      = 2 * time.Second
	announceEvery       = time.Second
	readyTimeout        = 20 * time.Second
	readyPoll           = 50 * time.Millisecond
	maxKeysTried        = 1000
	fileMode            = 0o644
	clockTicksPerSecond = 100 // Unit of processor time in /proc/PID/stat.
	statUserField       = 11  // Index in /proc/PID/stat after the command's name.
	statSystemField     = 12  // Likewise.
)

//go:embed document.json
var benchDocument []byte

// testbed is a store, a pair of daemons and their targets.
type testbed struct {
	cfg     Config
	binary  string
	level   string
	port    int
	store   *fakestore.Server
	pids    []int // Process ids, read from their files.
	targets []*fasthttp.Server
	stop    chan struct{}
}

func newTestbed(cfg Config, binary, level string, port int) *testbed {
	return &testbed{cfg: cfg, binary: binary, level: level, port: port, stop: make(chan struct{})}
}

func startTestbed(cfg Config, binary, level string, port int) (*testbed, error) {
	s := newTestbed(cfg, binary, level, port)
	if err := s.startStore(); err != nil {
		return s, err
	}
	for i := range daemonsPerPair {
		if err := s.startTarget(i); err != nil {
			return s, err
		}
		if err := s.readPID(i); err != nil {
			return s, err
		}
	}
	return s, s.awaitReady()
}

func address(port int) string {
	return "127.0.0.1:" + strconv.Itoa(port)
}

func (s *testbed) peer(i int) string    { return address(s.port + 1 + i*portsPerDaemon) }
func (s *testbed) control(i int) string { return address(s.port + 2 + i*portsPerDaemon) }
func (s *testbed) caller(i int) string  { return address(s.port + 3 + i*portsPerDaemon) }
func (s *testbed) target(i int) string  { return address(s.port + 4 + i*portsPerDaemon) }
func (s *testbed) host(i int) string    { return fmt.Sprintf("%s-%d-%d", s.level, s.port, i) }

func (s *testbed) startStore() error {
	s.store = fakestore.New(fakestore.Config{Seed: s.cfg.Seed, History: storeHistory})
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
	_, err = storeclient.New(address(s.port), controlTimeout).Put(document.Kind, environment, 0, raw)
	return err
}

// startTarget starts a target, which echoes the body of each request after the
// service time, and announces it to its daemon every second.
func (s *testbed) startTarget(i int) error {
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

func (s *testbed) serve(ctx *fasthttp.RequestCtx) {
	if s.cfg.ServiceTime > 0 {
		time.Sleep(s.cfg.ServiceTime)
	}
	ctx.Response.Header.SetBytesV("Rhubarb-Request-Id", ctx.Request.Header.Peek("Rhubarb-Request-Id"))
	ctx.Response.Header.SetBytesV("Rhubarb-Attempt", ctx.Request.Header.Peek("Rhubarb-Attempt"))
	ctx.SetContentType("application/json")
	ctx.SetBody(ctx.PostBody())
}

func (s *testbed) announce(i int) {
	raw, err := json.Marshal(control.Announcement{
		App: appName, Address: s.target(i), Slots: slots, Connections: connections, ChecksGrants: true, State: control.StateWarm,
	})
	if err != nil {
		return
	}
	tick := time.NewTicker(announceEvery)
	defer tick.Stop()
	for {
		s.postAnnouncement(i, raw)
		select {
		case <-s.stop:
			return
		case <-tick.C:
		}
	}
}

func (s *testbed) postAnnouncement(i int, raw []byte) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + s.control(i) + "/target/announce")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBody(raw)
	_ = fasthttp.DoTimeout(req, resp, controlTimeout)
}

// daemonFile returns the path of a daemon's file with the given extension.
func (s *testbed) daemonFile(i int, kind string) string {
	return filepath.Join(s.cfg.Dir, s.host(i)+kind)
}

func (s *testbed) settings(i int) settings.Daemon {
	d := settings.Daemon{
		Host:           host.ID(s.host(i)),
		Region:         "here",
		Zone:           host.Zone(fmt.Sprintf("here-%d", i+1)),
		Environment:    environment,
		PeerAddress:    s.peer(i),
		ControlAddress: s.control(i),
		CallerAddress:  s.caller(i),
		StoreAddress:   address(s.port),
		Log:            settings.Log{File: s.daemonFile(i, ".log"), Level: s.level},
		Seed:           s.cfg.Seed + uint64(i),
	}
	if s.cfg.ProfileBasePort > 0 {
		d.DebugAddress = address(s.cfg.ProfileBasePort + s.port - s.cfg.BasePort + i)
	}
	return d
}

// plan writes the daemons' settings files, and for each daemon a line to out:
// the path of its process id file, a tab, and the command that starts it.
func (s *testbed) plan(out io.Writer) error {
	for i := range daemonsPerPair {
		raw, err := json.Marshal(s.settings(i))
		if err != nil {
			return err
		}
		if err := os.WriteFile(s.daemonFile(i, ".json"), raw, fileMode); err != nil {
			return err
		}
		fmt.Fprintf(out, "%s\t%s --settings %s\n", s.daemonFile(i, ".pid"), s.binary, s.daemonFile(i, ".json"))
	}
	return nil
}

// readPID reads the process id file of a daemon that was started as planned.
func (s *testbed) readPID(i int) error {
	raw, err := os.ReadFile(s.daemonFile(i, ".pid"))
	if err != nil {
		return err
	}
	id, err := strconv.Atoi(strings.TrimSpace(string(raw)))
	if err != nil {
		return err
	}
	s.pids = append(s.pids, id)
	return nil
}

func (s *testbed) awaitReady() error {
	end := time.Now().Add(readyTimeout)
	for i := range daemonsPerPair {
		for !ready(s.control(i)) {
			if time.Now().After(end) {
				return &result.Error{Code: result.NotConfigured, Detail: s.host(i) + " did not become ready in time"}
			}
			time.Sleep(readyPoll)
		}
	}
	return nil
}

func ready(address string) bool {
	status, _, err := fasthttp.GetTimeout(nil, "http://"+address+"/ready", controlTimeout)
	return err == nil && status == fasthttp.StatusOK
}

func (s *testbed) direct() route {
	return route{address: s.target(0), path: "/items", key: "direct"}
}

// routes returns the route whose entry daemon owns the key, and the route
// through the other daemon with the same key.
func (s *testbed) routes() (one, two route, err error) {
	path := "/app/" + appName + "/items"
	client := newClient(s.caller(0), 1)
	defer client.CloseIdleConnections()
	for i := range maxKeysTried {
		one = route{address: s.caller(0), path: path, key: "k" + strconv.Itoa(i), daemonPIDs: s.pids}
		if owner, ok := send(client, one); ok && owner == s.host(0) {
			two = one
			two.address = s.caller(1)
			return one, two, nil
		}
	}
	return one, two, &result.Error{Code: result.NotOwner, Detail: s.host(0) + " owns no key"}
}

func (s *testbed) close() {
	close(s.stop)
	for _, t := range s.targets {
		_ = t.Shutdown()
	}
	_ = s.store.Close()
}

// cpuTime returns the processor time that the processes have used so far, or 0
// if it cannot be read for one of them.
func cpuTime(ids []int) time.Duration {
	total := time.Duration(0)
	for _, id := range ids {
		raw, err := os.ReadFile("/proc/" + strconv.Itoa(id) + "/stat")
		if err != nil {
			return 0
		}
		_, rest, _ := strings.Cut(string(raw), ") ")
		fields := strings.Fields(rest)
		if len(fields) <= statSystemField {
			return 0
		}
		for _, at := range []int{statUserField, statSystemField} {
			ticks, _ := strconv.ParseInt(fields[at], 10, 64)
			total += time.Duration(ticks) * time.Second / clockTicksPerSecond
		}
	}
	return total
}
