package gateway

import (
	"time"

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
		q.origin, q.search.source = q.hop.origin, originRelay
		return q.requireOrigin()
	}
	return nil
}

// resumeAtOrigin makes a request that takes a stream up require the software version that
// began it. It returns an error if that is not known, or no endpoint runs it.
func (q *request) resumeAtOrigin() error {
	if !q.takesUp() {
		return nil
	}
	q.origin, q.search = q.g.findOrigin(q.ctx, q.info.Resumes)
	err := q.requireOrigin()
	resumptions.count(err == nil)
	return err
}

// requireOrigin makes the next sends go to endpoints of the version that began the stream.
func (q *request) requireOrigin() error {
	o := q.origin
	if o != nil && o.Version != "" {
		if err := q.awaitSureVersions(); err != nil {
			return err
		}
	}
	q.distrust = q.distrustOf(o)
	switch q.distrust {
	case "":
	case serviceLeftRoute:
		return fail.New(fail.Unavailable, "the service that began the stream does not serve the route any more")
	case versionNotRunning:
		return fail.New(fail.Unavailable, "no endpoint runs the software version that began the stream")
	default:
		return fail.New(fail.Unavailable, "the software version that began the stream is not known").WithRetryAfter(unknownOriginRetryAfter)
	}
	q.requirements.Service, q.requirements.Version = o.Service, o.Version
	o.Unconfirmed = false
	return nil
}

// distrustOf returns why a stream of the origin may not go on; empty if it may.
func (q *request) distrustOf(o *streamorigin.Origin) distrust {
	switch {
	case o == nil:
		return originNotFound
	case o.Version == "":
		return originWithoutVersion
	}
	if d := q.g.mayDiffer(o); d != "" {
		return d
	}
	switch {
	case !q.route.Serves(o.Service):
		return serviceLeftRoute
	case !q.g.runs(o):
		return versionNotRunning
	}
	return ""
}

// mayDiffer returns why the stream may have begun at another version than its origin says;
// empty if it has not. The endpoint runs another one now: it may have been started again
// before the stream began. Or its process is gone, and the gateway at which the stream began
// was not sure.
func (g *Gateway) mayDiffer(o *streamorigin.Origin) distrust {
	e := g.view.Load().Endpoint(o.Endpoint)
	gone := e == nil || e.Service != o.Service || e.Version == ""
	switch {
	case !gone && e.Version != o.Version:
		return originReplaced
	case gone && o.Unconfirmed:
		return originUnconfirmed
	}
	return ""
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
