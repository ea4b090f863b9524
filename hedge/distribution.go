package hedge

import (
	"math"
	"time"
)

const (
	// The buckets of a distribution begin at minTime, and each is wider than the one
	// before by bucketGrowth, which bounds the relative error of a quantile. The last
	// one begins at about 100 s.
	minTime      = time.Millisecond
	bucketGrowth = 1.1
	bucketCount  = 122
	// halveAt is the number of times from which all counts are halved, so that later
	// answers count for more. A route with 10 requests a second at an entry forgets
	// half of what it knows within about a minute.
	halveAt = 1000
	// updateEvery is the number of new times after which the delay is computed anew.
	updateEvery = 16
)

// distribution counts times by their magnitude.
type distribution struct {
	counts [bucketCount]uint32
	total  uint32
	added  uint32 // times since the delay was computed
	// delay is the delayQuantile of the times.
	delay time.Duration
}

func (d *distribution) add(took time.Duration) {
	d.counts[bucketOf(took)]++
	d.total++
	d.added++
	if d.total >= halveAt {
		d.halve()
	}
	if d.added >= updateEvery {
		d.added = 0
		d.delay = d.quantile(delayQuantile)
	}
}

// halve halves all counts.
func (d *distribution) halve() {
	d.total = 0
	for i := range d.counts {
		d.counts[i] /= 2
		d.total += d.counts[i]
	}
}

// quantile returns a time that the given part of the times does not exceed, rounded
// up to the end of its bucket.
func (d *distribution) quantile(part float64) time.Duration {
	wanted := uint32(math.Ceil(part * float64(d.total)))
	var sum uint32
	for i, n := range d.counts {
		sum += n
		if sum >= wanted {
			return endOf(i)
		}
	}
	return endOf(bucketCount - 1)
}

// bucketOf returns the bucket of a time.
func bucketOf(took time.Duration) int {
	if took <= minTime {
		return 0
	}
	i := int(math.Log(float64(took)/float64(minTime)) / math.Log(bucketGrowth))
	return min(i, bucketCount-1)
}

// endOf returns the end of a bucket.
func endOf(bucket int) time.Duration {
	return time.Duration(float64(minTime) * math.Pow(bucketGrowth, float64(bucket+1)))
}
