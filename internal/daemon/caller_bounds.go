package daemon

import (
	"os"
	"runtime/debug"

	"github.com/rhubarbring/rhubarbring/internal/entry"
	"github.com/rhubarbring/rhubarbring/internal/machine"
	"github.com/rhubarbring/rhubarbring/internal/settings"
)

// callerBounds returns what all connections of callers may use together.
func (d *Daemon) callerBounds() entry.Bounds {
	return entry.Bounds{
		MemoryBytes: d.settings.ClientMemoryBytes(),
		Connections: d.settings.CallerConnections(machine.Descriptors()),
	}
}

// LimitHeap makes the garbage collector keep the heap below a part of the memory
// that the settings allow. A limit from the environment has precedence.
func LimitHeap(s *settings.Daemon) {
	limit := s.HeapLimitBytes()
	if limit <= 0 || os.Getenv("GOMEMLIMIT") != "" {
		return
	}
	debug.SetMemoryLimit(limit)
}

// CallerLimits implements entry.Router. It returns the limits of the document in
// force.
func (d *Daemon) CallerLimits() entry.CallerLimits {
	doc := d.fleet.document.Load()
	if doc == nil || doc.document.CallerLimits == nil {
		return entry.CallerLimits{}
	}
	l := doc.document.CallerLimits
	return entry.CallerLimits{
		MaxBodyBytes:   l.MaxBodyBytes,
		MaxHeaderBytes: l.MaxHeaderBytes,
		HeaderTimeout:  l.HeaderTimeout.Std(),
		IdleTimeout:    l.IdleTimeout.Std(),
	}
}
