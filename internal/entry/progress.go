package entry

import (
	"slices"
	"time"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/routing"
)

// progress is what became of one job so far.
type progress struct {
	query   routing.Query
	relay   *relay
	ran     fail.Ran
	crashes int
	// stop is set where this entry itself may make no further attempt.
	stop bool
	// alone is set once an owner said that the request is a suspect.
	isolated bool
	// broke holds the endpoints whose answers broke while they went on running.
	interrupted []string
	// redirect lets the owner of the current attempt pass the request on.
	allowRedirect bool
	// redirected holds the endpoints where the request would have waited, and
	// redirects counts them over the whole job.
	redirected    []string
	redirectCount int
	// moving holds the endpoints that were about to get another owner.
	viewMismatches []string
	// patience is until when new owners are waited for.
	awaitOwnerUntil time.Duration
	// arrived is when the request came.
	arrivedAt time.Duration
	// viewBy is until when a view with the first replica is waited for.
	awaitReplicaUntil time.Duration
	// attempts counts all attempts, failures those that count against the limit.
	attempts, failures int
	// refusals counts attempts that an owner refused for overload.
	overloadRejections int
	lastErr            *fail.Error
}

// leave notes where an attempt failed, for the choice of the next endpoint.
func (p *progress) recordTargetFailure(t target, err error) {
	if err == nil || fail.Is(err, fail.MustRunAlone) {
		return
	}
	p.query.Tried = append(p.query.Tried, t.vm.Id)
	f := fail.From(err)
	if f.Code == fail.Redirected {
		p.redirected = append(p.redirected, t.vm.Id)
		p.redirectCount++
		return
	}
	if isViewMismatch(f) {
		p.viewMismatches = append(p.viewMismatches, t.vm.Id)
		return
	}
	p.failures++
	p.query.FailedDomains = append(p.query.FailedDomains, t.vm.Domain)
	if f.Ran != fail.RanNo && f.Code != fail.EndpointCrashed {
		p.interrupted = append(p.interrupted, t.vm.Id)
	}
}

// reopen lets the job ask endpoints again that it has passed over.
func (p *progress) makeEligible(endpoints *[]string) {
	p.query.Tried = slices.DeleteFunc(p.query.Tried, func(e string) bool { return slices.Contains(*endpoints, e) })
	*endpoints = nil
}

// maxRedirects bounds the endpoints that a request passes over because it
// would wait there.
const maxRedirects = 2

// mayRedirect reports whether an owner may pass the request on: another
// replica is left, and the request needs no endpoint for itself.
func (p *progress) mayRedirect(targets []target) bool {
	untried := 0
	for _, t := range targets {
		if !slices.Contains(p.query.Tried, t.vm.Id) {
			untried++
		}
	}
	return untried > 1 && p.redirectCount < maxRedirects && !p.isolated
}

// note takes the outcome of a failed attempt.
func (p *progress) recordOutcome(f *fail.Error) {
	p.lastErr = f
	if f.Ran != fail.RanNo {
		p.ran = f.Ran
	}
	switch f.Code {
	case fail.EndpointCrashed:
		p.crashes++
	case fail.MustRunAlone:
		p.isolated = true
	case fail.Overloaded:
		p.overloadRejections++
	}
}
