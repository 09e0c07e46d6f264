package entry

import (
	"fmt"
	"testing"

	"parsleyramp/internal/routing"
)

// BenchmarkDecision measures all decisions on one request: the selection of a
// replica among all endpoints, validation by the owner, admission and release.
func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{22, 220, 2200} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			f := newFleet(n, 1)
			e := f.entries[0]
			c, err := e.session.catalog()
			if err != nil {
				b.Fatal(err)
			}
			targets := c.models[testModel].targets
			e.session.leased.Store(&leasedCatalog{catalog: c, until: 1 << 62})
			j := newTestJob("prompt", false, false, true)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				p := &progress{query: routing.Query{Prefix: uint64(i + 1)}, relay: &relay{}}
				t, ok := e.dispatcher.choose(targets, p, c)
				if !ok {
					b.Fatal("no endpoint")
				}
				r := j.template
				r.Endpoint, r.Version = t.vm.Id, t.version
				vm, err := e.owner.validate(r)
				if err != nil {
					b.Fatal(err)
				}
				a, err := e.owner.admit(b.Context(), vm, r)
				if err != nil {
					b.Fatal(err)
				}
				e.owner.release(a)
				e.dispatcher.recordResult(t, nil)
			}
		})
	}
}
