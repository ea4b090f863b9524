// Package bench measures the way of a request side by side in one run: from a
// caller straight to a target, by one daemon (the entry daemon owns the key)
// and by two (the entry daemon and the owner's). Callers, targets and stores
// stand in this process; the daemons are processes of their own, started by
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
	// Daemons are the paths of the binaries of rhubarbd to compare.
	Daemons []string
	// BasePort is the first port; ten for each pair of daemons are used.
	BasePort int
	// Levels are the log levels to compare, one pair of daemons for each
	// binary and level.
	Levels []string
	// Connections are the numbers of callers' connections to measure.
	Connections []int
	// Phase is the length of one measurement, and Rounds how often each is
	// taken; rounds of the ways that are compared alternate.
	Phase  time.Duration
	Rounds int
	// Service is the time that the target takes for a request.
	Service time.Duration
	// Seed starts the daemons' random numbers.
	Seed uint64
	// Profiles is the first port of profiles, one for each daemon; 0 serves
	// none.
	Profiles int
	// Dir is where settings, logs and the daemons' process ids are.
	Dir string
}

// Way is how requests reach the target.
type Way struct {
	// Name says it in the table.
	Name string
	// Level is the daemons' log level, and Daemon the name of their binary;
	// empty if no daemon takes part.
	Level, Daemon string
	route         route
}

// Sample is what was measured of one way at one load.
type Sample struct {
	Way         Way
	Connections int
	// Rate is the requests started a second; 0 at full load, where each
	// connection sends the next request when it has its answer.
	Rate float64
	// Done and Failed count the requests. A failed one has no answer of its
	// own with status 200.
	Done, Failed uint64
	// Elapsed is the time of all rounds, and Processor the processor time
	// that the daemons used meanwhile.
	Elapsed, Processor time.Duration
	// Latency is in nanoseconds.
	Latency *hdrhistogram.Histogram
}

const (
	maxLatency        = int64(10 * time.Second)
	significantDigits = 3
)

func newSample(w Way, connections int, rate float64) *Sample {
	return &Sample{Way: w, Connections: connections, Rate: rate, Latency: hdrhistogram.New(1, maxLatency, significantDigits)}
}

// PerSecond returns the requests done a second.
func (s *Sample) PerSecond() float64 {
	return float64(s.Done) / s.Elapsed.Seconds()
}

// PerCore returns the requests done for each second of the daemons' processor
// time.
func (s *Sample) PerCore() float64 {
	if s.Processor <= 0 {
		return 0
	}
	return float64(s.Done) / s.Processor.Seconds()
}

// Plan writes the settings of all daemons to Dir, and to out a line for each:
// the file for its process id, a tab, and the command that starts it.
func Plan(cfg Config, out io.Writer) error {
	return cfg.each(func(binary, level string, port int) error {
		return newStand(cfg, binary, level, port).plan(out)
	})
}

// each calls f for each pair of daemons with its first port, until an error.
func (cfg Config) each(f func(binary, level string, port int) error) error {
	port := cfg.BasePort
	for _, binary := range cfg.Daemons {
		for _, level := range cfg.Levels {
			if err := f(binary, level, port); err != nil {
				return err
			}
			port += portsEach
		}
	}
	return nil
}

// Run measures and writes the tables to out. The daemons run already, as Plan
// said.
func Run(cfg Config, out io.Writer) error {
	ways, closeAll, err := provision(cfg)
	defer closeAll()
	if err != nil {
		return err
	}
	writeMachine(out, "before")
	defer writeMachine(out, "\nafter")
	for _, connections := range cfg.Connections {
		full := cfg.table(out, ways, connections, 0, "full load")
		rate := halfLoad(full)
		cfg.table(out, ways, connections, rate, fmt.Sprintf("half load (%.0f requests/s on each way)", rate))
	}
	return nil
}

// table measures all ways at one load and writes what was measured.
func (cfg Config) table(out io.Writer, ways []Way, connections int, rate float64, load string) []*Sample {
	p := startProbe()
	samples := measure(cfg, ways, connections, rate)
	late := p.end()
	writeTable(out, fmt.Sprintf("%d connections, %s", connections, load), samples)
	fmt.Fprintf(out, "\nSleeps of %s in the callers' process ended late by p50 %.3f ms, p99 %.3f ms.\n", probeSleep, quantileMs(late, p50), quantileMs(late, p99))
	return samples
}

// provision starts what the ways need. The function returned ends it, also
// after an error.
func provision(cfg Config) ([]Way, func(), error) {
	var stands []*stand
	closeAll := func() {
		for _, s := range stands {
			s.close()
		}
	}
	var ways []Way
	err := cfg.each(func(binary, level string, port int) error {
		s, err := startStand(cfg, binary, level, port)
		stands = append(stands, s)
		if err != nil {
			return err
		}
		if len(ways) == 0 {
			ways = append(ways, Way{Name: "direct", route: s.direct()})
		}
		one, two, err := s.routes()
		if err != nil {
			return err
		}
		name := filepath.Base(binary)
		ways = append(ways, Way{Name: "1 hop", Level: level, Daemon: name, route: one}, Way{Name: "2 hops", Level: level, Daemon: name, route: two})
		return nil
	})
	return ways, closeAll, err
}

// halfLoad is half of the rate that the slowest way carried.
func halfLoad(full []*Sample) float64 {
	slowest := full[0].PerSecond()
	for _, s := range full[1:] {
		slowest = min(slowest, s.PerSecond())
	}
	return slowest / 2
}

// measure takes all ways in turn, round after round, so that what else the
// machine does meets them alike.
func measure(cfg Config, ways []Way, connections int, rate float64) []*Sample {
	samples := make([]*Sample, len(ways))
	for i, w := range ways {
		samples[i] = newSample(w, connections, rate)
	}
	for range cfg.Rounds {
		for _, s := range samples {
			s.take(cfg.Phase)
		}
	}
	return samples
}

func writeTable(out io.Writer, title string, samples []*Sample) {
	fmt.Fprintf(out, "\n%s\n\n", title)
	fmt.Fprintln(out, "| way | daemon | log | requests/s | requests/s per core of daemons | p50 ms | p99 ms | p99.9 ms | added p50 ms | added p99 ms | failed |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|---|---|---|---|")
	direct := samples[0].Latency
	for _, s := range samples {
		h := s.Latency
		fmt.Fprintf(out, "| %s | %s | %s | %.0f | %s | %.3f | %.3f | %.3f | %.3f | %.3f | %d |\n", s.Way.Name, s.Way.Daemon, s.Way.Level, s.PerSecond(), perCore(s),
			quantileMs(h, p50), quantileMs(h, p99), quantileMs(h, p999),
			quantileMs(h, p50)-quantileMs(direct, p50), quantileMs(h, p99)-quantileMs(direct, p99), s.Failed)
	}
}

func perCore(s *Sample) string {
	if s.Processor <= 0 {
		return "–"
	}
	return fmt.Sprintf("%.0f", s.PerCore())
}

// writeMachine says what the figures depend on beside the code.
func writeMachine(out io.Writer, when string) {
	load, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return
	}
	fmt.Fprintf(out, "%s: %d cores, load average %s\n", when, runtime.NumCPU(), strings.Fields(string(load))[0])
}

// Quantiles in percent.
const (
	p50  = 50
	p99  = 99
	p999 = 99.9
)

func quantileMs(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / float64(time.Millisecond)
}
