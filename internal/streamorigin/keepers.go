package streamorigin

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// Copies is how many gateways keep an origin, besides the one that began the stream.
	Copies = 3
	// MaxAsked bounds the gateways that are asked for an origin. It exceeds Copies, because
	// gateways may have come since, which rank before the keepers.
	MaxAsked = 8
	// buckets bounds the number of gateways that each one tells to Copies for each bucket.
	buckets = 32
)

// Keeper is a gateway that may keep origins.
type Keeper struct {
	ID      string
	Domain  string
	Address string
}

// Rank returns the keepers in the order in which they keep the origin of a stream: first
// the best of each failure domain by rendezvous hash, then the second of each, and so
// on. Those of the domain avoid come after the others of the same rank.
func Rank(id string, keepers []Keeper, avoid string) []Keeper {
	bucket := strconv.FormatUint(xxhash.Sum64String(id)%buckets, 10)
	ranked := make([]rankedKeeper, 0, len(keepers))
	for _, k := range keepers {
		ranked = append(ranked, rankedKeeper{Keeper: k, hash: xxhash.Sum64String(bucket + "|" + k.ID)})
	}
	slices.SortFunc(ranked, func(a, b rankedKeeper) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.ID, b.ID))
	})
	inDomain := map[string]int{}
	for i := range ranked {
		ranked[i].rank = inDomain[ranked[i].Domain]
		inDomain[ranked[i].Domain]++
	}
	slices.SortStableFunc(ranked, func(a, b rankedKeeper) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(order(a.Domain == avoid), order(b.Domain == avoid)))
	})
	out := make([]Keeper, len(ranked))
	for i, k := range ranked {
		out[i] = k.Keeper
	}
	return out
}

type rankedKeeper struct {
	Keeper
	hash uint64
	// rank is how many keepers of the same domain have a higher hash.
	rank int
}

func order(last bool) int {
	if last {
		return 1
	}
	return 0
}
