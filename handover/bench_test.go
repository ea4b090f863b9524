package handover_test

import (
	"testing"

	"github.com/rhubarbring/rhubarbring/host"
)

func BenchmarkBeginEnd(b *testing.B) {
	h := newHolder()
	h.ApplyChange(1, newChange(alpha, 4, host.NoSession))
	b.ReportAllocs()
	for b.Loop() {
		ticket, v := h.Begin(2, slice)
		if !v.Admitted() {
			b.Fatal(v)
		}
		h.End(3, ticket)
	}
}
