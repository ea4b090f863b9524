package assignment_test

import (
	"fmt"
	"testing"

	"github.com/rhubarbring/rhubarbring/assignment"
	"github.com/rhubarbring/rhubarbring/host"
	"github.com/rhubarbring/rhubarbring/key"
)

func benchMap(hosts, slices int) *assignment.Map {
	m := assignment.NewMap()
	for first := 0; first < slices; first += assignment.PackSlices {
		p := assignment.NewPack("catalogue", uint32(slices), key.SliceID(first))
		for i := range p.Len() {
			owner := host.Session{Host: host.ID(fmt.Sprintf("h%05d", (first+i)*7919%hosts)), Incarnation: 1}
			p.Set(key.SliceID(first+i), assignment.Ownership{Owner: owner, Epoch: 3})
		}
		m.PutPack(p, 1)
	}
	return m
}

func BenchmarkLookup(b *testing.B) {
	for _, hosts := range []int{15, 300, 12_000} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			m := benchMap(hosts, hosts*16)
			keys := make([]string, 4096)
			for i := range keys {
				keys[i] = fmt.Sprint("booking-", i)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				if _, _, ok := m.Lookup("catalogue", keys[i%len(keys)]); !ok {
					b.Fatal("no owner")
				}
			}
		})
	}
}

func BenchmarkDecode(b *testing.B) {
	m := benchMap(12_000, 192_000)
	p, _ := m.Pack("catalogue", 0)
	raw, err := p.Encode()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := assignment.Decode(raw); err != nil {
			b.Fatal(err)
		}
	}
}
