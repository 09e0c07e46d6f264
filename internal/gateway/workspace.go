package gateway

import (
	"net/http"
	"time"

	"parsleyramp/internal/document"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/wire"
)

// challenge is the authentication scheme that a response with status 401 names.
const challenge = "Bearer"

// unconfirmedRetryAfter is the Retry-After of a request that this gateway does not serve
// because it has lost control: another gateway may serve it.
const unconfirmedRetryAfter = 400 * time.Millisecond

var (
	errMissingKey  = fail.New(fail.Unauthenticated, "the request carries no key")
	errUnknownKey  = fail.New(fail.Unauthenticated, "the key is unknown")
	errRevokedKey  = fail.New(fail.Unauthenticated, "the key was removed while the request waited")
	errUnconfirmed = fail.New(fail.Unavailable, "the gateway cannot confirm that keys are still in force").WithRetryAfter(unconfirmedRetryAfter)
	// errOtherDocument makes the gateway that took a relayed request try elsewhere: this one
	// has another version of the document.
	errOtherDocument = fail.New(fail.UnknownPath, "the fleet document here does not declare the workspace of the relayed request")
)

// admission is what the fleet document says about the key of a request.
type admission struct {
	// table is the one by which the request was last admitted.
	table *document.Table
	// workspace is that of the request; nil for none.
	workspace *document.Workspace
	// withKeys is set once a document by which the request was admitted declared
	// workspaces: from then on the client's key stays here.
	withKeys bool
	// keyNeeded is set if the request is not served without a key.
	keyNeeded bool
}

// admit returns what the table says about a request of a client, or of a gateway that relays
// one by hop, on the route. The error is that of a request that is not served.
func admit(t *document.Table, route *document.Route, key document.Key, hop *hop) (admission, error) {
	if hop != nil {
		return admitRelayed(t, route, hop)
	}
	a := admission{table: t}
	if !t.NeedsKeys() {
		return a, nil
	}
	a.withKeys, a.keyNeeded, a.workspace = true, !route.Public, t.WorkspaceOf(key)
	switch {
	case a.workspace != nil || route.Public:
		return a, nil
	case key.Empty():
		return a, errMissingKey
	}
	return a, errUnknownKey
}

// admitRelayed is admit for a relayed request, which the gateway that took it has
// authenticated.
func admitRelayed(t *document.Table, route *document.Route, h *hop) (admission, error) {
	a := admission{table: t, withKeys: t.NeedsKeys(), keyNeeded: t.NeedsKeys() && !route.Public}
	if h.workspace == "" {
		if a.keyNeeded {
			return a, errOtherDocument
		}
		return a, nil
	}
	a.workspace = t.Workspace(h.workspace)
	if !a.workspace.HasKey(h.key) {
		return a, errOtherDocument
	}
	return a, nil
}

// readmit admits the request again if the document in force is no longer the one by which it
// was admitted. It returns an error if the request must not be sent any more. It is called
// before each send, so it only compares pointers unless the document has changed.
func (q *request) readmit() error {
	t := q.g.table.Load()
	if t != q.admission.table {
		if err := q.admitBy(t); err != nil {
			return err
		}
	}
	if q.g.keysUnconfirmed(q.admission) {
		return q.unconfirmed()
	}
	return nil
}

// admitBy admits a waiting request by a newer document.
func (q *request) admitBy(t *document.Table) error {
	before := q.admission
	if before.withKeys && !t.NeedsKeys() {
		// The request remains that of its workspace, and its key stays here.
		q.admission.table, q.admission.keyNeeded = t, false
		return nil
	}
	route := t.Find(q.httpRequest.Host, q.httpRequest.URL.Path)
	if route == nil {
		route = q.route
	}
	a, err := admit(t, route, q.info.Key, q.hop)
	if err != nil && a.withKeys && !a.keyNeeded {
		// On a public route, a key that is not in force counts as none.
		a.workspace, err = nil, nil
	}
	switch {
	case err != nil && before.workspace == nil:
		return err
	case err != nil, before.workspace != nil && a.keyNeeded && a.workspace.Name != before.workspace.Name:
		return errRevokedKey
	}
	q.admission = a
	return nil
}

// mayWrite returns a function that reports whether the request, whose headers have been
// prepared, may be written to an endpoint or another gateway now: its permit holds, if it has
// one, its key is in force, no drain forbids it, and the headers still say what the document says.
func (q *request) mayWrite(permitHolds func() bool) func() bool {
	withKeys, workspace := q.admission.withKeys, q.workspaceName()
	return func() bool {
		if permitHolds != nil && !permitHolds() || q.readmit() != nil || !q.finishesInTime(q.g.clock()) {
			return false
		}
		if q.requirements.Version != "" && !q.g.versionsSure() {
			return false
		}
		return q.admission.withKeys == withKeys && q.workspaceName() == workspace
	}
}

// revokedUnsent refuses a request of which no byte was sent if it must not be sent any more.
// The send then says nothing about its endpoint or gateway.
func (q *request) revokedUnsent(s *sendResult) bool {
	if !s.unsent() {
		return false
	}
	err := q.readmit()
	if err != nil {
		s.refused, s.err = true, err
	}
	return err != nil
}

// priority returns the priority of the request; 0 is served first.
func (q *request) priority() int { return q.admission.workspace.PriorityOf(q.route) }

// workspaceName returns the name of the request's workspace, empty for none.
func (q *request) workspaceName() string {
	if q.admission.workspace == nil {
		return ""
	}
	return q.admission.workspace.Name
}

// unconfirmed returns the failure of a request that is not served because this gateway has
// lost control. The gateway that took a relayed request tries another one.
func (q *request) unconfirmed() error {
	if q.hop != nil {
		return errOutOfReach
	}
	return errUnconfirmed
}

// keysUnconfirmed reports whether requests that need a key are refused because this gateway
// has not confirmed its document for too long.
func (g *Gateway) keysUnconfirmed(a admission) bool {
	if !g.cfg.FailClosed || !a.keyNeeded {
		return false
	}
	return g.bootClock()-time.Duration(g.confirmedAt.Load()) > g.cfg.KeyMaxAge.D()
}

// confirmDocument records that the leader, asked at the time of bootClock, knew no newer
// document than the one in force here. A document that cannot be decoded is not in force.
func (g *Gateway) confirmDocument(resp *wire.SyncResponse, asked time.Duration) {
	if resp.Document.GetVersion() <= g.documentVersion() {
		g.confirmedAt.Store(int64(asked))
	}
}

// setChallenge sets the header that a response to a request without a valid key must have.
func setChallenge(h http.Header, code fail.Code) {
	if code == fail.Unauthenticated {
		h.Set("WWW-Authenticate", challenge)
	}
}
