package entry

import (
	"slices"
	"time"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/routing"
)

// progress is the state of one job across its attempts.
type progress struct {
	query   routing.Query
	relay   *relay
	ran     fail.Ran
	crashes int
	// stop is set if this entry must not make any further attempt.
	stop bool
	// isolated is set once the request is known to be a suspect, which may run only
	// while no other request runs on its endpoint.
	isolated bool
	// interrupted holds the endpoints at which an attempt that may have run failed
	// without a crash, or whose owner ended the attempt because it stopped.
	interrupted []string
	// allowRedirect lets the owner redirect the current attempt if it would wait.
	allowRedirect bool
	// redirected holds the endpoints that redirected the request because it would
	// have waited, and redirectCount counts all redirects of the job.
	redirected    []string
	redirectCount int
	// viewMismatches holds the endpoints at which attempts were rejected because
	// the views of two entries differ, for instance while an endpoint gets another
	// owner.
	viewMismatches []string
	// awaitOwnerUntil bounds the wait for new owners.
	awaitOwnerUntil time.Duration
	// arrivedAt is when the request arrived.
	arrivedAt time.Duration
	// awaitReplicaUntil bounds the wait for a view with a replica.
	awaitReplicaUntil time.Duration
	// attempts counts all attempts, and failures those that count against
	// MaxAttempts.
	attempts, failures int
	// overloadRejections counts attempts that an owner rejected for overload.
	overloadRejections int
	lastErr            *fail.Error
}

// recordTargetFailure records where an attempt failed, for the selection of the
// next endpoint.
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
	if f.Code == fail.Draining || f.Ran != fail.RanNo && f.Code != fail.EndpointCrashed {
		p.interrupted = append(p.interrupted, t.vm.Id)
	}
}

// makeEligible lets the endpoints be selected again, and clears the list.
func (p *progress) makeEligible(endpoints *[]string) {
	p.query.Tried = slices.DeleteFunc(p.query.Tried, func(e string) bool { return slices.Contains(*endpoints, e) })
	*endpoints = nil
}

// maxRedirects bounds the number of endpoints that may redirect a request because
// it would wait there.
const maxRedirects = 2

// mayRedirect reports whether an owner may redirect the request: another replica
// is left, and the request need not run isolated.
func (p *progress) mayRedirect(targets []target) bool {
	untried := 0
	for _, t := range targets {
		if !slices.Contains(p.query.Tried, t.vm.Id) {
			untried++
		}
	}
	return untried > 1 && p.redirectCount < maxRedirects && !p.isolated
}

// recordOutcome records the outcome of a failed attempt.
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
