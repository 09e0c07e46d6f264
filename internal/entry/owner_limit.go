package entry

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"parsleyramp/internal/endpoint"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/ratelimit"
	"parsleyramp/internal/wire"
)

// endpointLimits holds the limits that the endpoints of this entry have named, and the
// buckets of permits for the requests there. Its owner alone sends to an endpoint, so that
// its bucket bounds the requests of all entries together. owner.mu guards it.
type endpointLimits struct {
	book    ratelimit.Book
	buckets map[string]*ratelimit.Bucket
}

// limitKey is the key of an endpoint's process: another one has named nothing.
func limitKey(vm *wire.Endpoint) string { return vm.Id + "/" + vm.Incarnation }

// observeLimit records what a response to a request that was sent at sentAt states of the
// endpoint's limit. A failure lifts none: it may name none.
func (o *owner) observeLimit(vm *wire.Endpoint, r *endpoint.Response, sentAt time.Duration) {
	l := r.Limit
	if l.Kind == ratelimit.Unstated && r.Status >= http.StatusBadRequest {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now, key := o.clock(), limitKey(vm)
	s, ok := ratelimit.NewStatement(l, sentAt, now)
	if !ok {
		// A line at a higher level would come with each response.
		o.session.log.WithField("endpoint", vm.Id).Debug("endpoint names a limit that cannot be read; what was known holds")
		return
	}
	change := o.limits.book.Record(key, s)
	if change == ratelimit.Unchanged {
		return
	}
	if change == ratelimit.Lifted {
		delete(o.limits.buckets, key)
	}
	o.session.log.WithFields(logrus.Fields{"endpoint": vm.Id, "change": change.String(), "per_second": l.PerSecond}).Info("limit of an endpoint changed")
}

// bucketLocked returns the bucket of an endpoint that has a limit, and the limit, or nil.
func (o *owner) bucketLocked(vm *wire.Endpoint) (*ratelimit.Bucket, float64) {
	key := limitKey(vm)
	s, _ := o.limits.book.Lookup(key)
	if !s.Limited {
		return nil, 0
	}
	b := o.limits.buckets[key]
	if b == nil {
		b = ratelimit.NewBucket(s.At)
		if o.limits.buckets == nil {
			o.limits.buckets = map[string]*ratelimit.Bucket{}
		}
		o.limits.buckets[key] = b
	}
	return b, s.PerSecond
}

// checkLimitLocked returns an error if the endpoint has a limit and takes no request now: the
// attempt goes elsewhere at once and does not queue.
func (o *owner) checkLimitLocked(vm *wire.Endpoint) error {
	if b, perSecond := o.bucketLocked(vm); b != nil {
		if wait := b.Wait(perSecond, o.clock()); wait > 0 {
			return limitError(wait)
		}
	}
	return nil
}

// takePermitLocked takes a permit for an attempt that is about to be sent.
func (o *owner) takePermitLocked(vm *wire.Endpoint) error {
	if b, perSecond := o.bucketLocked(vm); b != nil {
		if ok, retryAfter := b.Take(perSecond, o.clock()); !ok {
			return limitError(retryAfter)
		}
	}
	return nil
}

func limitError(retryAfter time.Duration) *fail.Error {
	return fail.New(fail.Overloaded, "the endpoint takes no more requests a second than it has named").WithRetryAfter(retryAfter)
}
