package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"parsleyramp/internal/document"
	"parsleyramp/internal/fail"
)

// originSource is where a gateway has the origin of a stream from.
type originSource string

const (
	originOwn    originSource = "own"
	originKeeper originSource = "keeper"
	originRelay  originSource = "relay"
)

// distrust is why a stream does not go on although its client may take it up; empty if it may.
type distrust string

const (
	originNotFound       distrust = "origin_not_found"
	originWithoutVersion distrust = "origin_without_version"
	originReplaced       distrust = "origin_replaced"
	originUnconfirmed    distrust = "origin_unconfirmed"
	versionsOutdated     distrust = "versions_outdated"
	serviceLeftRoute     distrust = "service_left_route"
	versionNotRunning    distrust = "version_not_running"
)

// resultWentOn is the result of a stream that goes on: an event of it has been forwarded.
const resultWentOn = "went_on"

// resultEnded is the result of a stream whose endpoint ended it without another event.
const resultEnded = "ended"

// originSearch is how the origin of a stream was looked for.
type originSearch struct {
	// source is empty if it was not found.
	source originSource
	// asked is the number of keepers that were asked, and answered that of those whose
	// answers came before the end of the search.
	asked, answered int
	took            time.Duration
}

// takesUp reports whether the client takes a stream up.
func (q *request) takesUp() bool { return q.route.Kind == document.Stream && q.info.Resumed }

// takeUpFields returns what the log says of a request that takes a stream up; none for others.
func (r RequestInfo) takeUpFields() logrus.Fields {
	if !r.Resumed {
		return nil
	}
	return logrus.Fields{"resumes": r.Resumes, "after_event": r.LastEvent}
}

// takeUpFields returns what the log says of a request that takes a stream up, or whose stream
// was not to go on elsewhere; none for others.
func (q *request) takeUpFields() logrus.Fields {
	fields := q.info.takeUpFields()
	if fields == nil {
		if q.distrust == "" {
			return nil
		}
		fields = logrus.Fields{}
	}
	if s := q.search; q.takesUp() {
		fields["origin_from"], fields["keepers_asked"], fields["keepers_answered"] = s.source, s.asked, s.answered
		fields["origin_ms"] = s.took.Milliseconds()
	}
	if o := q.origin; o != nil {
		fields["origin_endpoint"], fields["origin_version"], fields["origin_unconfirmed"] = o.Endpoint, o.Version, o.Unconfirmed
	}
	if q.distrust != "" {
		fields["distrust"] = q.distrust
	}
	return fields
}

// countTakeUp counts the end of a request that takes a stream up, with the failure that ended
// it, if any. A relayed one is counted by the gateway that took it.
func (q *request) countTakeUp(err error) {
	if !q.takesUp() || q.hop != nil {
		return
	}
	result := string(fail.From(err).Code)
	switch {
	case q.firstByte > 0:
		result = resultWentOn
	case q.httpRequest.Context().Err() != nil:
		result = string(fail.Canceled)
	case q.distrust != "":
		result = string(q.distrust)
	case err == nil:
		result = resultEnded
	}
	takeUps.count(result)
}
