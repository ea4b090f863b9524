package control

import (
	"net"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"github.com/rhubarbring/rhubarbring/internal/listen"
)

// Metrics serves the metrics of a registry, and nothing else, at an address of
// its own.
type Metrics struct {
	registry metrics.Registry
	http     *fasthttp.Server
	done     chan struct{}
}

// NewMetrics returns a server of the registry's metrics.
func NewMetrics(registry metrics.Registry) *Metrics {
	m := &Metrics{registry: registry, done: make(chan struct{})}
	m.http = &fasthttp.Server{Handler: m.handle, ReadTimeout: readTimeout, IdleTimeout: idleTimeout, ReduceMemoryUsage: true}
	return m
}

// Start listens on address. Its errors are those of listen.TCP.
func (m *Metrics) Start(address string) error {
	listener, err := listen.TCP("metrics", address)
	if err != nil {
		return err
	}
	go m.serve(listener)
	return nil
}

// Stop ends the server.
func (m *Metrics) Stop() {
	_ = m.http.Shutdown()
	<-m.done
}

// serve ends when the server is shut down; before that only a broken listener
// ends it, and then the address is closed.
func (m *Metrics) serve(listener net.Listener) {
	defer close(m.done)
	_ = m.http.Serve(listener)
}

func (m *Metrics) handle(ctx *fasthttp.RequestCtx) {
	if !ctx.IsGet() || string(ctx.Path()) != "/metrics" {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	ctx.SetContentType("text/plain; version=0.0.4")
	writeMetrics(ctx, m.registry)
}
