package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const probeSleep = time.Millisecond

// probe tells how late threads that wake up get a core, which is what all
// measured times have in them on a machine with other work.
type probe struct {
	stop chan struct{}
	late chan *hdrhistogram.Histogram
}

func startProbe() *probe {
	p := &probe{stop: make(chan struct{}), late: make(chan *hdrhistogram.Histogram)}
	go p.run()
	return p
}

func (p *probe) run() {
	late := hdrhistogram.New(1, maxLatency, significantDigits)
	for {
		select {
		case <-p.stop:
			p.late <- late
			return
		default:
		}
		from := time.Now()
		time.Sleep(probeSleep)
		_ = late.RecordValue(min(max(int64(time.Since(from)-probeSleep), 1), maxLatency))
	}
}

// end returns how much later than asked sleeps of a millisecond ended.
func (p *probe) end() *hdrhistogram.Histogram {
	close(p.stop)
	return <-p.late
}
