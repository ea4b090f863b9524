package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const probeSleep = time.Millisecond

// wakeupProbe measures by how much time.Sleep overruns. On a machine with other
// load, every measured latency includes such delays.
type wakeupProbe struct {
	stop     chan struct{}
	overruns chan *hdrhistogram.Histogram
}

func startWakeupProbe() *wakeupProbe {
	p := &wakeupProbe{stop: make(chan struct{}), overruns: make(chan *hdrhistogram.Histogram)}
	go p.run()
	return p
}

func (p *wakeupProbe) run() {
	overruns := hdrhistogram.New(1, maxLatency, significantDigits)
	for {
		select {
		case <-p.stop:
			p.overruns <- overruns
			return
		default:
		}
		from := time.Now()
		time.Sleep(probeSleep)
		_ = overruns.RecordValue(min(max(int64(time.Since(from)-probeSleep), 1), maxLatency))
	}
}

// finish stops the probe and returns by how much the sleeps of probeSleep
// overran.
func (p *wakeupProbe) finish() *hdrhistogram.Histogram {
	close(p.stop)
	return <-p.overruns
}
