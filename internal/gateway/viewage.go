package gateway

import (
	"time"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/wait"
	"parsleyramp/internal/wire"
)

const (
	// maxVersionAge is how long after the leader has confirmed the view the software
	// versions in it are sure. It is longer than the time between two exchanges, and
	// shorter than it takes until an engine that has started again serves a model.
	maxVersionAge = time.Second
	// confirmationWait bounds the wait of a request for a confirmed view, and
	// confirmationInterval is the time between two looks.
	confirmationWait     = 600 * time.Millisecond
	confirmationInterval = 20 * time.Millisecond
)

// errVersionsOutdated rejects a request that goes on with a stream where engines may have
// started again with other software. Another gateway may know.
var errVersionsOutdated = fail.New(fail.Unavailable, "this gateway does not know which software versions serve now").WithRetryAfter(unknownOriginRetryAfter)

// confirmView records that the leader, asked at the time of bootClock, knew no newer view
// than the one that has been applied since.
func (g *Gateway) confirmView(resp *wire.SyncResponse, asked time.Duration) {
	v := g.view.Load()
	if v == nil || v.Term != resp.Term || resp.View != nil && v.Revision < resp.View.Revision {
		return
	}
	g.viewConfirmedAt.Store(int64(asked))
}

// versionsSure reports whether the leader has confirmed the view recently. After a
// suspension, or without the leader, engines may run other software than it says.
func (g *Gateway) versionsSure() bool {
	return g.bootClock()-time.Duration(g.viewConfirmedAt.Load()) <= maxVersionAge
}

// awaitSureVersions waits until the versions are sure. It returns errVersionsOutdated if
// they are not after confirmationWait.
func (q *request) awaitSureVersions() error {
	for waited := time.Duration(0); !q.g.versionsSure(); waited += confirmationInterval {
		if waited >= confirmationWait || !wait.For(q.ctx, confirmationInterval) {
			q.distrust = versionsOutdated
			return errVersionsOutdated
		}
	}
	return nil
}
