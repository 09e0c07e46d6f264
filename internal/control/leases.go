package control

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/state"
	"parsleyramp/internal/wire"
)

// clockDrift is the largest relative error of the rate of a VM's clock.
const clockDrift = 0.1

// reportRetention is how long the last report of an unresponsive entry counts.
const reportRetention = 5 * time.Minute

// entryLease is the last heartbeat of one entry in this term. receivedAt is on
// the leader's clock.
type entryLease struct {
	receivedAt   time.Duration
	viewRevision uint64
	reports      map[string]*wire.EndpointReport
}

// leaseTable holds the heartbeats that the leader has received. It starts empty
// in every term. It is accessed only on the goroutine of replica.Node.Run.
//
// Its results depend on two invariants. At most one incarnation of an entry
// holds a lease: another incarnation is registered only after the lease of the
// first has expired. An entry that the state records as not live holds no
// lease: its incarnation is revoked before the change is proposed, and a revoked
// incarnation is granted no lease until the change is committed.
type leaseTable struct {
	term      uint64
	termStart time.Duration
	entries   map[string]*entryLease
	// revoked holds, by entry ID, the incarnation that is being recorded as not
	// live or replaced.
	revoked map[string]string
	views   viewHistory
}

// enterTerm empties the table if the term is new.
func (t *leaseTable) enterTerm(term uint64, now time.Duration) {
	if t.term == term && t.entries != nil {
		return
	}
	*t = leaseTable{term: term, termStart: now, entries: map[string]*entryLease{}, revoked: map[string]string{}}
}

var (
	errRevoked     = fail.New(fail.Unavailable, "the entry is being recorded as not live; send the heartbeat again").WithRetryAfter(time.Second)
	errIncarnation = fail.New(fail.Unavailable, "an earlier incarnation of the entry may still hold its lease").WithRetryAfter(time.Second)
)

// renew handles a heartbeat, based on the state that the leader has applied. It
// either grants the lease or returns the registration to commit first.
func (t *leaseTable) renew(m *state.Machine, r *wire.HeartbeatRequest, lease, now time.Duration) (*wire.HeartbeatResponse, *wire.SetEntry, error) {
	id := r.Entry.GetId()
	current := m.Entry(id)
	t.clearRevocation(id, current)
	_, revoked := t.revoked[id]
	same := current.GetIncarnation() == r.Entry.GetIncarnation()
	switch {
	case same && revoked:
		return nil, nil, errRevoked
	case current.GetLive() && !same && !t.expired(id, lease, now):
		return nil, nil, errIncarnation
	case !m.Registered(r.Entry):
		if current.GetLive() && !same {
			t.revoked[id] = current.Incarnation
		}
		return nil, registration(r.Entry, current), nil
	}
	t.recordHeartbeat(r, now)
	resp := &wire.HeartbeatResponse{LeaseMs: lease.Milliseconds(), Term: t.term}
	t.view(m)
	t.views.fill(r.ViewRevision, resp)
	return resp, nil, nil
}

// view returns the newest view, which must not be modified. It is copied from
// the state machine once per revision.
func (t *leaseTable) view(m *state.Machine) *wire.View {
	t.views.update(m)
	return t.views.newest
}

func registration(entry, current *wire.EntryVM) *wire.SetEntry {
	next := proto.Clone(entry).(*wire.EntryVM)
	next.Live = true
	return &wire.SetEntry{Entry: next, ExpectedRegistration: current.GetRegistration()}
}

// clearRevocation ends the revocation of an entry once the state records its
// incarnation as not live or replaced.
func (t *leaseTable) clearRevocation(id string, current *wire.EntryVM) {
	if incarnation, ok := t.revoked[id]; ok && (!current.GetLive() || current.GetIncarnation() != incarnation) {
		delete(t.revoked, id)
	}
}

func (t *leaseTable) recordHeartbeat(r *wire.HeartbeatRequest, now time.Duration) {
	l := &entryLease{
		receivedAt:   now,
		viewRevision: r.ViewRevision,
		reports:      map[string]*wire.EndpointReport{},
	}
	for _, e := range r.Endpoints {
		l.reports[e.Endpoint] = e
	}
	t.entries[r.Entry.GetId()] = l
}

// maxLeaseDuration returns the longest time on the leader's clock for which an
// entry may hold a lease: with a fast leader clock and a slow entry clock.
func maxLeaseDuration(lease time.Duration) time.Duration {
	return time.Duration(float64(lease) * (1 + clockDrift) / (1 - clockDrift))
}

// expired reports whether the entry's lease has certainly expired, on the
// entry's clock too. A new leader does not know the leases granted before its
// term, so without a heartbeat it counts from the start of the term.
func (t *leaseTable) expired(entry string, lease, now time.Duration) bool {
	lastHeartbeat := t.termStart
	if l := t.entries[entry]; l != nil {
		lastHeartbeat = l.receivedAt
	}
	return now-lastHeartbeat > maxLeaseDuration(lease)
}

// revokeExpired revokes the entries that are recorded as live although their
// lease has expired, and returns the commands that record them as not live. None
// of them is granted a lease until its command is committed.
func (t *leaseTable) revokeExpired(entries []*wire.EntryVM, lease, now time.Duration) []*wire.SetEntry {
	var out []*wire.SetEntry
	for _, e := range entries {
		t.clearRevocation(e.Id, e)
		if !e.Live || !t.expired(e.Id, lease, now) {
			continue
		}
		t.revoked[e.Id] = e.Incarnation
		notLive := proto.Clone(e).(*wire.EntryVM)
		notLive.Live = false
		out = append(out, &wire.SetEntry{Entry: notLive, ExpectedRegistration: e.Registration})
	}
	return out
}

// lagging returns the IDs of the entries that may still serve from a view older
// than the revision.
func (t *leaseTable) lagging(entries []*wire.EntryVM, revision uint64, lease, now time.Duration) []string {
	var out []string
	for _, e := range entries {
		if !e.Live || t.expired(e.Id, lease, now) {
			continue
		}
		if l := t.entries[e.Id]; l == nil || l.viewRevision < revision {
			out = append(out, e.Id)
		}
	}
	return out
}

// acknowledged returns the newest view revision that every live entry has
// applied, or math.MaxUint64 if no entry is live.
func (t *leaseTable) acknowledged(entries []*wire.EntryVM, lease, now time.Duration) uint64 {
	lowest := uint64(math.MaxUint64)
	for _, e := range entries {
		if !e.Live || t.expired(e.Id, lease, now) {
			continue
		}
		revision := uint64(0)
		if l := t.entries[e.Id]; l != nil {
			revision = l.viewRevision
		}
		lowest = min(lowest, revision)
	}
	return lowest
}

// prune drops the reports of entries whose last heartbeat is older than
// reportRetention.
func (t *leaseTable) prune(now time.Duration) {
	for id, l := range t.entries {
		if now-l.receivedAt > reportRetention {
			delete(t.entries, id)
		}
	}
}

// inFlight returns the number of requests that the entries report in flight on
// the resident.
func (t *leaseTable) inFlight(r *wire.Resident) int {
	n := 0
	for _, l := range t.entries {
		for _, x := range l.reports[r.Endpoint].GetResidents() {
			if x.Model == r.Model && x.Version == r.Version && x.Adapter == r.Adapter {
				n += int(x.InFlight)
			}
		}
	}
	return n
}
