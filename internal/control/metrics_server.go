package control

import (
	"context"
	"net"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"github.com/rhubarbring/rhubarbring/internal/listen"
)

// MetricsServer is an HTTP server that serves the metrics of a registry, and
// nothing else, on a separate address.
type MetricsServer struct {
	registry metrics.Registry
	http     *fasthttp.Server
	done     chan struct{}
}

// NewMetricsServer returns a server for the metrics of the registry. Start makes
// it listen.
func NewMetricsServer(registry metrics.Registry) *MetricsServer {
	m := &MetricsServer{registry: registry, done: make(chan struct{})}
	m.http = &fasthttp.Server{Handler: m.handle, ReadTimeout: readTimeout, IdleTimeout: idleTimeout, ReduceMemoryUsage: true}
	return m
}

// Start listens on address and serves in the background. Its errors are those
// of listen.TCP.
func (m *MetricsServer) Start(address string) error {
	listener, err := listen.TCP("metrics", address)
	if err != nil {
		return err
	}
	go m.serve(listener)
	return nil
}

// Stop shuts the server down. It waits for the calls in flight, but no longer than
// shutdownTimeout.
func (m *MetricsServer) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = m.http.ShutdownWithContext(ctx)
	<-m.done
}

// serve returns when the server is shut down. Before that only a failure of
// the listener ends it, and then the address is closed.
func (m *MetricsServer) serve(listener net.Listener) {
	defer close(m.done)
	_ = m.http.Serve(listener)
}

func (m *MetricsServer) handle(ctx *fasthttp.RequestCtx) {
	if !ctx.IsGet() || string(ctx.Path()) != "/metrics" {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	ctx.SetContentType("text/plain; version=0.0.4")
	writeMetrics(ctx, m.registry)
}
