package routing

import "github.com/cespare/xxhash/v2"

// affinityGroupSize bounds the replicas that one affinity decision compares.
const affinityGroupSize = 8

func hashString(s string) uint64 { return xxhash.Sum64String(s) }

// mix is the finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// preferred returns the replica that is likely to have a prefix cached:
// rendezvous hashing (Thaler and Ravishankar, 1998) within a group that jump
// hashing chooses (Lamping and Veach, 2014). It depends only on the prefix and
// the replicas, so that every entry prefers the same replica, and late or lost
// cache events do not change it. n must not be zero.
func preferred(prefix uint64, n int, at func(int) *Replica) int {
	groups := (n + affinityGroupSize - 1) / affinityGroupSize
	group := jumpHash(prefix, groups)
	from, to := group*n/groups, (group+1)*n/groups
	best, highest := from, uint64(0)
	for i := from; i < to; i++ {
		if w := mix(prefix ^ at(i).hash); w >= highest {
			best, highest = i, w
		}
	}
	return best
}

// jumpHash returns the bucket of a key by jump consistent hashing.
func jumpHash(key uint64, buckets int) int {
	b, j := int64(-1), int64(0)
	for j < int64(buckets) {
		b = j
		key = key*2862933555777941757 + 1
		j = int64(float64(b+1) * (float64(int64(1)<<31) / float64((key>>33)+1)))
	}
	return int(b)
}

// prefixBytes is the length of the prompt's beginning that determines affinity.
const prefixBytes = 256

// PrefixDigest returns the digest of the beginning of a prompt for a model. It
// is never zero.
func PrefixDigest(model, prompt string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(model)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(prompt[:min(len(prompt), prefixBytes)])
	return max(1, d.Sum64())
}
