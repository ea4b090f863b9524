package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	deployFile   = "deploy/system.toml"
	restartDelay = 300 * time.Millisecond
)

var zoneRegions = map[string]string{"north-a": "north", "north-b": "north", "south-a": "south"}

// node is one machine: a process of the system, and the server beside it.
type node struct {
	w        *world
	name     string
	zone     string
	ip       string
	service  string
	settings string

	peer, control, caller, ready, announce, app string

	mu       sync.Mutex
	process  *os.Process
	exited   chan struct{}
	restarts bool // It is started again when it ends.
	ends     int
}

// freePort returns a port of the address at which nothing listens.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

func (w *world) newNode(name, zone, service string) (*node, error) {
	n := &node{w: w, name: name, zone: zone, service: service, ip: fmt.Sprintf("127.%d.%d.%d", w.net[0], w.net[1], len(w.nodes)+1), restarts: true}
	for _, address := range []*string{&n.peer, &n.control, &n.caller, &n.ready, &n.announce, &n.app} {
		port, err := freePort(n.ip)
		if err != nil {
			return nil, err
		}
		*address = fmt.Sprintf("%s:%d", n.ip, port)
	}
	w.nodes = append(w.nodes, n)
	return n, n.writeSettings()
}

var (
	sectionPattern     = regexp.MustCompile(`(?s)\{\{#([a-zA-Z0-9_.]+)\}\}(.*?)\{\{/[a-zA-Z0-9_.]+\}\}`)
	placeholderPattern = regexp.MustCompile(`\{\{([a-zA-Z0-9_.]+)(\|json)?\}\}`)
	deployLine         = regexp.MustCompile(`(?m)^\s*(run|template)\s*=\s*"([^"]*)"`)
)

// deployValues returns the command and the template of the deploy file's only role.
func (w *world) deployValues() (run []string, template string, err error) {
	raw, err := os.ReadFile(filepath.Join(w.root, deployFile))
	if err != nil {
		return nil, "", err
	}
	for _, m := range deployLine.FindAllStringSubmatch(string(raw), -1) {
		if m[1] == "run" {
			run = strings.Fields(m[2])
		} else {
			template = m[2]
		}
	}
	if len(run) == 0 || template == "" {
		return nil, "", errors.New("the deploy file names no command or no template")
	}
	return run, template, nil
}

// writeSettings fills in the template of the deploy file, as the platform does.
func (n *node) writeSettings() error {
	_, name, err := n.w.deployValues()
	if err != nil {
		return err
	}
	template, err := os.ReadFile(filepath.Join(n.w.root, name))
	if err != nil {
		return err
	}
	port := func(address string) string { return address[strings.LastIndexByte(address, ':')+1:] }
	values := map[string]any{
		"nodeName": n.name, "region": zoneRegions[n.zone], "zone": n.zone, "ip": n.ip,
		"portRange.0": json.Number(port(n.peer)), "portRange.1": json.Number(port(n.control)),
		"listen.outbound": n.caller, "listen.ready": n.ready, "listen.control": n.announce,
		"platform.address": n.w.store.address, "service": n.service, "appAddr": n.app, "zones": zoneRegions,
		"limits.linkMbps": 1000.0, "limits.memoryMb": n.w.memoryMb, "limits.maxFds": 4100, "bounds.grace": n.w.grace.String(),
	}
	template = sectionPattern.ReplaceAllFunc(template, func(s []byte) []byte {
		parts := sectionPattern.FindSubmatch(s)
		if _, ok := values[string(parts[1])]; !ok {
			return nil
		}
		return parts[2]
	})
	var missing error
	text := placeholderPattern.ReplaceAllFunc(template, func(p []byte) []byte {
		parts := placeholderPattern.FindSubmatch(p)
		value, ok := values[string(parts[1])]
		if !ok {
			missing = fmt.Errorf("the template names %s, which has no value here", parts[1])
		}
		if len(parts[2]) == 0 {
			return fmt.Append(nil, value)
		}
		encoded, err := json.Marshal(value)
		missing = errors.Join(missing, err)
		return encoded
	})
	if missing != nil {
		return missing
	}
	n.settings = filepath.Join(n.w.dir, n.name+".json")
	return os.WriteFile(n.settings, text, 0o600)
}

// start starts the node's process, and again each time that it ends.
func (n *node) start() error {
	run, _, err := n.w.deployValues()
	if err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(n.w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(n.w.root, run[0]), run[1:]...)
	cmd.Dir = n.w.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "RHUBARBRING_BOOT=" + n.settings}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return err
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.process, n.exited = cmd.Process, exited
	n.mu.Unlock()
	n.w.rec.line("%s: its process starts", n.name)
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		n.w.rec.line("%s: its process has ended: %v", n.name, err)
		n.mu.Lock()
		n.ends++
		again := n.restarts
		close(exited)
		n.mu.Unlock()
		if !again || n.w.isClosing() {
			return
		}
		time.Sleep(restartDelay)
		if !n.w.isClosing() {
			_ = n.start()
		}
	}()
	return nil
}

// signal sends a signal to the node's process, unless it has ended.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return
	}
	select {
	case <-n.exited:
	default:
		_ = n.process.Signal(s)
	}
}

// terminate sends SIGTERM, and SIGKILL after the grace, as the platform does.
func (n *node) terminate(grace time.Duration) {
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	n.w.rec.line("%s: SIGTERM", n.name)
	n.signal(syscall.SIGTERM)
	go func() {
		select {
		case <-exited:
		case <-time.After(grace):
			n.w.rec.line("%s: SIGKILL after the grace", n.name)
			n.signal(syscall.SIGKILL)
		}
	}()
}

// stop ends the node's process for good.
func (n *node) stop() {
	n.mu.Lock()
	n.restarts = false
	exited := n.exited
	n.mu.Unlock()
	if exited == nil {
		return
	}
	n.signal(syscall.SIGCONT)
	n.signal(syscall.SIGKILL)
	<-exited
}

func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + n.ready + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
