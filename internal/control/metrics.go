package control

import (
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"
)

const namePrefix = "rhubarb_"

var quantiles = []float64{0.5, 0.99, 0.999}

// writeMetrics writes the metrics of the registry in the Prometheus text
// format, sorted by name.
func writeMetrics(w io.Writer, registry metrics.Registry) {
	for _, m := range sortedMetrics(registry) {
		switch metric := m.value.(type) {
		case metrics.Counter:
			fmt.Fprintf(w, "# TYPE %s counter\n%s %d\n", m.name, m.name, metric.Count())
		case metrics.Gauge:
			fmt.Fprintf(w, "# TYPE %s gauge\n%s %d\n", m.name, m.name, metric.Value())
		case metrics.GaugeFloat64:
			fmt.Fprintf(w, "# TYPE %s gauge\n%s %g\n", m.name, m.name, metric.Value())
		case metrics.Histogram:
			writeHistogram(w, m.name, metric.Snapshot())
		}
	}
}

func writeHistogram(w io.Writer, name string, h metrics.Histogram) {
	fmt.Fprintf(w, "# TYPE %s summary\n", name)
	for i, value := range h.Percentiles(quantiles) {
		fmt.Fprintf(w, "%s{quantile=\"%g\"} %g\n", name, quantiles[i], value)
	}
	fmt.Fprintf(w, "%s_sum %d\n%s_count %d\n", name, h.Sum(), name, h.Count())
}

type namedMetric struct {
	name  string
	value any
}

func sortedMetrics(registry metrics.Registry) []namedMetric {
	var all []namedMetric
	registry.Each(func(name string, value any) {
		all = append(all, namedMetric{name: prometheusName(name), value: value})
	})
	sort.Slice(all, func(i, j int) bool { return all[i].name < all[j].name })
	return all
}

func prometheusName(name string) string {
	return namePrefix + strings.NewReplacer(".", "_", "-", "_", "/", "_").Replace(name)
}
