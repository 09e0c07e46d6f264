package admission

import (
	"cmp"
	"time"
)

// key orders waiting requests: level first, then tag, then arrival.
type key struct {
	level int64
	tag   float64
	seq   uint64
}

func (a key) compare(b key) int {
	return cmp.Or(cmp.Compare(a.level, b.level), cmp.Compare(a.tag, b.tag), cmp.Compare(a.seq, b.seq))
}

// queuedRequest is one waiting request.
type queuedRequest struct {
	key         key
	req         Request
	serviceTime time.Duration
	// arrived is the time at which the request arrived.
	arrived time.Duration
}

// queue is a treap of waiting requests that counts the requests before a key
// and sums their expected service times in O(log n) (Seidel and Aragon,
// "Randomized Search Trees", 1996). The heap priorities come from a hash, so
// that the shape of the treap is the same in every run.
type queue struct{ root *node }

type node struct {
	request      *queuedRequest
	heapPriority uint64
	left, right  *node
	size         int
	serviceTime  time.Duration
}

func (n *node) update() {
	n.size, n.serviceTime = 1, n.request.serviceTime
	for _, child := range [...]*node{n.left, n.right} {
		if child != nil {
			n.size += child.size
			n.serviceTime += child.serviceTime
		}
	}
}

// mix is the finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (q *queue) len() int {
	if q.root == nil {
		return 0
	}
	return q.root.size
}

func (q *queue) insert(e *queuedRequest) {
	less, more := split(q.root, e.key)
	n := &node{request: e, heapPriority: mix(e.key.seq)}
	n.update()
	q.root = merge(merge(less, n), more)
}

func (q *queue) remove(k key) { q.root = remove(q.root, k) }

// first returns the request that goes next, or nil.
func (q *queue) first() *queuedRequest {
	if q.root == nil {
		return nil
	}
	n := q.root
	for n.left != nil {
		n = n.left
	}
	return n.request
}

// last returns the request that goes last, or nil.
func (q *queue) last() *queuedRequest {
	if q.root == nil {
		return nil
	}
	n := q.root
	for n.right != nil {
		n = n.right
	}
	return n.request
}

// before returns the number of requests before k and the sum of their expected
// service times.
func (q *queue) before(k key) (int, time.Duration) {
	count, serviceTime := 0, time.Duration(0)
	for n := q.root; n != nil; {
		if n.request.key.compare(k) >= 0 {
			n = n.left
			continue
		}
		count++
		serviceTime += n.request.serviceTime
		if n.left != nil {
			count += n.left.size
			serviceTime += n.left.serviceTime
		}
		n = n.right
	}
	return count, serviceTime
}

// split splits a tree into the keys before k and the others.
func split(n *node, k key) (less, more *node) {
	if n == nil {
		return nil, nil
	}
	if n.request.key.compare(k) < 0 {
		n.right, more = split(n.right, k)
		n.update()
		return n, more
	}
	less, n.left = split(n.left, k)
	n.update()
	return less, n
}

// merge joins two trees; every key of a must be before every key of b.
func merge(a, b *node) *node {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case a.heapPriority < b.heapPriority:
		a.right = merge(a.right, b)
		a.update()
		return a
	}
	b.left = merge(a, b.left)
	b.update()
	return b
}

func remove(n *node, k key) *node {
	if n == nil {
		return nil
	}
	switch c := k.compare(n.request.key); {
	case c < 0:
		n.left = remove(n.left, k)
	case c > 0:
		n.right = remove(n.right, k)
	default:
		return merge(n.left, n.right)
	}
	n.update()
	return n
}
