package quarantine

import (
	"slices"
	"time"
)

// NeedsTrial reports whether a suspect request of so many crashes may only run in a trial,
// in a service of so many endpoints: before it can have crashed all of them again, and
// before the crash after which it is convicted if nothing else explains its crashes.
func NeedsTrial(crashes, endpoints int) bool {
	return crashes >= suspectCrashes && crashes >= min(endpoints, convictingCrashes)
}

// Trials are the runs of suspects that may not run beside each other: one at a time at an
// endpoint, and each suspect at one endpoint at a time. So the next crash has one suspect,
// which nothing else explains, and innocent ones run to their end. The zero value has none.
type Trials struct{ running []trial }

// trial is a run of a suspect at an endpoint, which the holder sends there. It ends at the
// latest at until.
type trial struct {
	endpoint string
	holder   string
	suspects []uint64
	until    time.Duration
}

// Begin begins a trial of a request with the suspects, or returns false and the time after
// which one may be possible.
func (t *Trials) Begin(endpoint, holder string, suspects []uint64, now, length time.Duration) (ok bool, retryAfter time.Duration) {
	t.running = slices.DeleteFunc(t.running, func(x trial) bool { return now >= x.until })
	for _, x := range t.running {
		if x.endpoint == endpoint || slices.ContainsFunc(suspects, func(f uint64) bool { return slices.Contains(x.suspects, f) }) {
			return false, x.until - now
		}
	}
	t.running = append(t.running, trial{endpoint, holder, suspects, now + length})
	return true, 0
}

// Cancel ends the trial of the holder at an endpoint, which did not run the request.
func (t *Trials) Cancel(endpoint, holder string) {
	t.running = slices.DeleteFunc(t.running, func(x trial) bool { return x.endpoint == endpoint && x.holder == holder })
}

// EndDecided ends the trials of which no suspect is undecided any more.
func (t *Trials) EndDecided(undecided func(fingerprint uint64) bool) {
	t.running = slices.DeleteFunc(t.running, func(x trial) bool { return !slices.ContainsFunc(x.suspects, undecided) })
}
