// Package bench compares request paths in one run: from a caller directly to a
// target, through one daemon (the entry daemon owns the key) and through two
// (the entry daemon and the owner's daemon). Callers, targets and stores run
// in this process. The daemons are processes of their own, started by
// scripts/bench-path.sh, so that their processor time can be told apart.
package bench

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Config describes one run.
type Config struct {
	// Daemons are the paths of the rhubarbd binaries to compare.
	Daemons []string
	// BasePort is the first port; each pair of daemons uses ten.
	BasePort int
	// Levels are the log levels to compare. Each combination of a binary and a
	// level runs a pair of daemons.
	Levels []string
	// Connections are the numbers of caller connections to measure.
	Connections []int
	// RoundDuration is the length of one round and Rounds the number of rounds
	// of each path and load. The paths take turns round by round.
	RoundDuration time.Duration
	Rounds        int
	// ServiceTime is the time that a target takes for a request.
	ServiceTime time.Duration
	// Seed seeds the daemons' random number generators.
	Seed uint64
	// ProfileBasePort is the first port of the daemons' debug servers; 0 starts
	// none. The ports of a pair are ten above those of the pair before.
	ProfileBasePort int
	// Dir is the directory of settings, logs and process id files.
	Dir string
}

// RequestPath is a path from a caller to a target.
type RequestPath struct {
	// Name is the path's name in the tables.
	Name string
	// Level is the daemons' log level and Daemon the file name of their binary.
	// Both are empty if no daemon is on the path.
	Level, Daemon string
	route         route
}

// Sample is the measurement of one path under one load.
type Sample struct {
	Path        RequestPath
	Connections int
	// Rate is the number of requests started per second. At 0 (full load) each
	// connection sends its next request as soon as it has an answer.
	Rate float64
	// Done and Failed count the requests. A request is done if it was answered
	// with status 200 and its own id.
	Done, Failed uint64
	// Elapsed is the duration of all rounds, and CPUTime the processor time that
	// the daemons used during them.
	Elapsed, CPUTime time.Duration
	// Latency is in nanoseconds.
	Latency *hdrhistogram.Histogram
}

const (
	maxLatency        = int64(10 * time.Second)
	significantDigits = 3
)

func newSample(p RequestPath, connections int, rate float64) *Sample {
	return &Sample{Path: p, Connections: connections, Rate: rate, Latency: hdrhistogram.New(1, maxLatency, significantDigits)}
}

// PerSecond returns the number of requests done per second.
func (s *Sample) PerSecond() float64 {
	return float64(s.Done) / s.Elapsed.Seconds()
}

// PerCore returns the number of requests done per second of the daemons'
// processor time, or 0 if none was measured.
func (s *Sample) PerCore() float64 {
	if s.CPUTime <= 0 {
		return 0
	}
	return float64(s.Done) / s.CPUTime.Seconds()
}

// Plan writes the settings of all daemons to Dir, and for each daemon a line to
// out: the path of its process id file, a tab, and the command that starts it.
func Plan(cfg Config, out io.Writer) error {
	return cfg.forEachPair(func(binary, level string, port int) error {
		return newTestbed(cfg, binary, level, port).plan(out)
	})
}

// forEachPair calls f for each pair of daemons with its first port, and stops
// at the first error.
func (cfg Config) forEachPair(f func(binary, level string, port int) error) error {
	port := cfg.BasePort
	for _, binary := range cfg.Daemons {
		for _, level := range cfg.Levels {
			if err := f(binary, level, port); err != nil {
				return err
			}
			port += portsPerPair
		}
	}
	return nil
}

// Run measures all paths and writes the tables to out. The daemons that Plan
// listed must have been started and their process id files written.
func Run(cfg Config, out io.Writer) error {
	paths, closeAll, err := provision(cfg)
	defer closeAll()
	if err != nil {
		return err
	}
	writeMachineLoad(out, "before")
	defer writeMachineLoad(out, "\nafter")
	for _, connections := range cfg.Connections {
		full := cfg.measureTable(out, paths, connections, 0, "full load")
		rate := halfLoad(full)
		cfg.measureTable(out, paths, connections, rate, fmt.Sprintf("half load (%.0f requests/s on each path)", rate))
	}
	return nil
}

// measureTable measures all paths under one load and writes the table.
func (cfg Config) measureTable(out io.Writer, paths []RequestPath, connections int, rate float64, load string) []*Sample {
	p := startWakeupProbe()
	samples := measure(cfg, paths, connections, rate)
	overruns := p.finish()
	writeTable(out, fmt.Sprintf("%d connections, %s", connections, load), samples)
	fmt.Fprintf(out, "\nOverrun of sleeps of %s in this process: p50 %.3f ms, p99 %.3f ms.\n", probeSleep, quantileMs(overruns, p50), quantileMs(overruns, p99))
	return samples
}

// provision starts the stores and targets of all pairs and returns the paths
// to measure. The returned function stops what was started and must also be
// called after an error.
func provision(cfg Config) ([]RequestPath, func(), error) {
	var testbeds []*testbed
	closeAll := func() {
		for _, s := range testbeds {
			s.close()
		}
	}
	var paths []RequestPath
	err := cfg.forEachPair(func(binary, level string, port int) error {
		s, err := startTestbed(cfg, binary, level, port)
		testbeds = append(testbeds, s)
		if err != nil {
			return err
		}
		if len(paths) == 0 {
			paths = append(paths, RequestPath{Name: "direct", route: s.direct()})
		}
		one, two, err := s.routes()
		if err != nil {
			return err
		}
		name := filepath.Base(binary)
		paths = append(paths, RequestPath{Name: "1 hop", Level: level, Daemon: name, route: one}, RequestPath{Name: "2 hops", Level: level, Daemon: name, route: two})
		return nil
	})
	return paths, closeAll, err
}

// halfLoad returns half of the rate of the slowest path.
func halfLoad(full []*Sample) float64 {
	slowest := full[0].PerSecond()
	for _, s := range full[1:] {
		slowest = min(slowest, s.PerSecond())
	}
	return slowest / 2
}

// measure samples all paths. The paths take turns round by round, so that other
// load on the machine affects them alike.
func measure(cfg Config, paths []RequestPath, connections int, rate float64) []*Sample {
	samples := make([]*Sample, len(paths))
	for i, p := range paths {
		samples[i] = newSample(p, connections, rate)
	}
	for range cfg.Rounds {
		for _, s := range samples {
			s.runRound(cfg.RoundDuration)
		}
	}
	return samples
}

func writeTable(out io.Writer, title string, samples []*Sample) {
	fmt.Fprintf(out, "\n%s\n\n", title)
	fmt.Fprintln(out, "| path | daemon | log | requests/s | requests/s per core of daemons | p50 ms | p99 ms | p99.9 ms | added p50 ms | added p99 ms | failed |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|---|---|")
	direct := samples[0].Latency
	for _, s := range samples {
		h := s.Latency
		fmt.Fprintf(out, "| %s | %s | %s | %.0f | %s | %.3f | %.3f | %.3f | %.3f | %.3f | %d |\n", s.Path.Name, s.Path.Daemon, s.Path.Level, s.PerSecond(), perCore(s),
			quantileMs(h, p50), quantileMs(h, p99), quantileMs(h, p999),
			quantileMs(h, p50)-quantileMs(direct, p50), quantileMs(h, p99)-quantileMs(direct, p99), s.Failed)
	}
}

func perCore(s *Sample) string {
	if s.CPUTime <= 0 {
		return "–"
	}
	return fmt.Sprintf("%.0f", s.PerCore())
}

// writeMachineLoad writes the number of cores and the load average, on which
// the figures depend.
func writeMachineLoad(out io.Writer, when string) {
	load, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return
	}
	fmt.Fprintf(out, "%s: %d cores, load average %s\n", when, runtime.NumCPU(), strings.Fields(string(load))[0])
}

// Percentiles that the tables show.
const (
	p50  = 50
	p99  = 99
	p999 = 99.9
)

func quantileMs(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / float64(time.Millisecond)
}
