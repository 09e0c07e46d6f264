package gateway

import (
	"time"

	"parsleyramp/internal/document"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/streamorigin"
)

// unknownOriginRetryAfter is the Retry-After of a stream whose origin no keeper knows that
// could be asked.
const unknownOriginRetryAfter = 400 * time.Millisecond

// findOriginOrHop makes a request that goes on with a stream require the software version
// that began it, as the gateway that relays the request knows it, or as this one or a keeper does.
func (q *request) findOriginOrHop() error {
	switch {
	case q.hop == nil:
		return q.resumeAtOrigin()
	case !q.route.Serves(q.hop.service):
		return fail.New(fail.OutOfReach, "the route does not lead to the service here").WithRetryAfter(failedRetryAfter)
	case q.hop.origin != nil:
		q.origin = q.hop.origin
		return q.requireOrigin()
	}
	return nil
}

// resumeAtOrigin makes a request that takes a stream up require the software version that
// began it. It returns an error if that is not known, or no endpoint runs it.
func (q *request) resumeAtOrigin() error {
	if q.route.Kind != document.Stream || !q.info.Resumed {
		return nil
	}
	q.origin = q.g.findOrigin(q.ctx, q.info.Resumes)
	err := q.requireOrigin()
	resumptions.count(err == nil)
	return err
}

// requireOrigin makes the next sends go to endpoints of the version that began the stream.
func (q *request) requireOrigin() error {
	o := q.origin
	if o != nil && o.Version != "" {
		if err := q.g.awaitSureVersions(q.ctx); err != nil {
			return err
		}
	}
	switch {
	case o == nil || o.Version == "" || q.g.mayDiffer(o):
		return fail.New(fail.Unavailable, "the software version that began the stream is not known").WithRetryAfter(unknownOriginRetryAfter)
	case !q.route.Serves(o.Service):
		return fail.New(fail.Unavailable, "the service that began the stream does not serve the route any more")
	case !q.g.runs(o):
		return fail.New(fail.Unavailable, "no endpoint runs the software version that began the stream")
	}
	q.requirements.Service, q.requirements.Version = o.Service, o.Version
	o.Unconfirmed = false
	return nil
}

// mayDiffer reports whether the stream may have begun at another version than its origin
// says. The endpoint runs another one now: it may have been started again before the stream
// began. Or it is gone, and the gateway at which the stream began was not sure.
func (g *Gateway) mayDiffer(o *streamorigin.Origin) bool {
	e := g.view.Load().Endpoint(o.Endpoint)
	if e == nil || e.Service != o.Service {
		return o.Unconfirmed
	}
	return e.Version != o.Version
}

// runs reports whether an endpoint that is not leaving runs the version.
func (g *Gateway) runs(o *streamorigin.Origin) bool {
	for _, e := range g.view.Load().Service(o.Service) {
		if !e.Leaving && e.Version == o.Version {
			return true
		}
	}
	return false
}

// recordStreamBegun records where the stream goes on with its first event from an endpoint.
func (q *request) recordStreamBegun() {
	if !q.route.Resumable {
		return
	}
	id := q.info.ID
	if q.origin == nil {
		q.origin = &streamorigin.Origin{Service: q.requirements.Service, Version: q.endpointVersion, Unconfirmed: !q.versionSure}
		if q.endpoint != nil {
			q.origin.Endpoint = q.endpoint.ID
		}
	}
	if q.info.Resumed {
		id = q.info.Resumes
	}
	if id != "" {
		q.g.recordOrigin(id, *q.origin)
	}
}
