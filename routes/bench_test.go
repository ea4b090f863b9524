package routes_test

import (
	"fmt"
	"testing"

	"github.com/rhubarbring/rhubarbring/document"
	"github.com/rhubarbring/rhubarbring/routes"
)

// BenchmarkResolve measures the lookup of a request's route for different
// numbers of routes of the host name.
func BenchmarkResolve(b *testing.B) {
	for _, n := range []int{4, 64, 1024} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			doc := &document.Document{Apps: []document.App{{Name: "catalogue"}}}
			for i := range n {
				doc.Routes = append(doc.Routes, document.Route{
					Name: fmt.Sprint(i), Host: "shop.example", PathPrefix: fmt.Sprintf("/part-%d/", i),
					Split: []document.WeightedApp{{App: "catalogue", Weight: 1}},
				})
			}
			table := routes.New(doc)
			b.ReportAllocs()
			for b.Loop() {
				table.Resolve("shop.example", "/part-3/item/17")
			}
		})
	}
}
