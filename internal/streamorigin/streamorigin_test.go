package streamorigin

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestOriginIsKnownUntilItsTTLAndNoLonger(t *testing.T) {
	var b Book
	o := Origin{Service: "s", Endpoint: "e", Version: "v1"}
	b.Record("a", o, 0)
	b.Record("a", o, 10*time.Second)
	if got, ok := b.Find("a", TTL+9*time.Second); !ok || got != o {
		t.Errorf("%+v, %v, want %+v: it was recorded again", got, ok, o)
	}
	if got, ok := b.Find("a", TTL+10*time.Second); ok {
		t.Errorf("%+v is known after its TTL", got)
	}
	b.Record("b", o, TTL+10*time.Second)
	if b.Len() != 1 {
		t.Errorf("%d origins, want 1: the other has expired", b.Len())
	}
}

func TestStreamWithTwoRecordedVersionsHasAnUnknownOne(t *testing.T) {
	var b Book
	b.Record("a", Origin{Service: "s", Version: "v1"}, 0)
	b.Record("a", Origin{Service: "s", Version: "v2"}, 1)
	b.Record("a", Origin{Service: "s", Version: "v2"}, 2)
	if got, ok := b.Find("a", 3); !ok || got.Version != "" {
		t.Errorf("%+v, %v, want an unknown version", got, ok)
	}
}

func TestBookIsBounded(t *testing.T) {
	var b Book
	for i := range MaxOrigins + 10 {
		b.Record(fmt.Sprint(i), Origin{}, 0)
	}
	if _, ok := b.Find("9", 0); ok || b.Len() != MaxOrigins {
		t.Errorf("%d origins, the tenth known: %v; want %d without it", b.Len(), ok, MaxOrigins)
	}
}

func TestBookIsBoundedAlthoughOneStreamIsRecordedAgainAndAgain(t *testing.T) {
	var b Book
	for range maxRecordings + 10 {
		b.Record("a", Origin{Version: "v1"}, 0)
	}
	if len(b.order) > maxRecordings {
		t.Errorf("%d recordings are kept, want %d at most", len(b.order), maxRecordings)
	}
}

// TestOriginOutlivesTheLossOfDomains checks that a gateway that asks knows the origin although
// whole domains have died, as long as a keeper lives, and although gateways have come since.
func TestOriginOutlivesTheLossOfDomains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(2, 13).Draw(t, "domains")
		gateways := rapid.IntRange(domains, 340).Draw(t, "gateways")
		var all []Keeper
		for i := range gateways {
			all = append(all, Keeper{ID: fmt.Sprintf("g%d", i), Domain: fmt.Sprintf("d%d", i%domains)})
		}
		self := all[rapid.IntRange(0, gateways-1).Draw(t, "self")]
		others := func(of Keeper, known []Keeper) []Keeper {
			return slices.DeleteFunc(slices.Clone(known), func(k Keeper) bool { return k.ID == of.ID })
		}
		id := rapid.StringMatching("[0-9a-f]{16}").Draw(t, "id")
		kept := Rank(id, others(self, all), self.Domain)
		kept = kept[:min(Copies, len(kept))]
		dead := fmt.Sprintf("d%d", rapid.IntRange(0, domains-1).Draw(t, "dead"))
		alive := slices.DeleteFunc(slices.Clone(all), func(k Keeper) bool { return k.Domain == dead })
		if !slices.ContainsFunc(kept, func(k Keeper) bool { return k.Domain != dead && k.Domain != self.Domain }) && dead != self.Domain && domains > 2 {
			t.Fatalf("the loss of %s leaves no keeper outside the domain of the gateway, of %v", dead, kept)
		}
		// Dead gateways are known for a while, and new ones have come.
		asking := alive[rapid.IntRange(0, len(alive)-1).Draw(t, "asking")]
		known := alive
		if rapid.Bool().Draw(t, "dead ones are known") {
			known = all
		}
		for i := range rapid.IntRange(0, 4).Draw(t, "new") {
			known = append(slices.Clip(known), Keeper{ID: fmt.Sprintf("new%d", i), Domain: fmt.Sprintf("d%d", i%domains)})
		}
		asked := Rank(id, others(asking, known), "")
		asked = append(asked[:min(MaxAsked, len(asked))], asking)
		knows := func(k Keeper) bool {
			return k.Domain != dead && (slices.Contains(kept, k) || k.ID == self.ID)
		}
		if !slices.ContainsFunc(asked, knows) {
			t.Fatalf("none of %v knows what %v keep, without %s", asked, kept, dead)
		}
	})
}

// TestLongIDsAreKeptByTheirDigests guards against callers that take a gateway's memory with the ids of attempts.
func TestLongIDsAreKeptByTheirDigests(t *testing.T) {
	var b Book
	one, two := strings.Repeat("i", 10_000)+"1", strings.Repeat("i", 10_000)+"2"
	b.Record(one, Origin{Service: "s", Version: "v1"}, 0)
	b.Record(two, Origin{Service: "s", Version: "v2"}, 0)
	for id, want := range map[string]string{one: "v1", two: "v2"} {
		if got, ok := b.Find(id, 0); !ok || got.Version != want {
			t.Errorf("the origin of a long id is %+v, known %v, want version %s", got, ok, want)
		}
	}
	for id := range b.entries {
		if len(id) > maxKeyBytes {
			t.Errorf("%d bytes are kept of an id, want %d at most", len(id), maxKeyBytes)
		}
	}
}
