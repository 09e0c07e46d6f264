package control

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/state"
	"parsleyramp/internal/wire"
)

// clockDrift is the largest share by which the rate of a VM's clock may differ
// from true time.
const clockDrift = 0.1

// reportRetention is how long the last report of a silent entry counts.
const reportRetention = 5 * time.Minute

// entryLease is what the leader remembers of one entry's last heartbeat.
type entryLease struct {
	receivedAt   time.Duration
	viewRevision uint64
	reports      map[string]*wire.EndpointReport
}

// leaseTable is the leader's memory of heartbeats. It starts empty in every
// term. Only the control goroutine touches it.
//
// Two invariants make its answers true. At most one incarnation of an entry
// holds a lease: another one is registered only once the lease of the first
// is over. An entry that the state marks as not live holds no lease: it is
// revoked before the mark is proposed, and a revoked incarnation is
// granted nothing until the mark is committed.
type leaseTable struct {
	term      uint64
	termStart time.Duration
	entries   map[string]*entryLease
	// revoked gives the incarnation of an entry that is being marked dead or
	// replaced.
	revoked map[string]string
	views   viewHistory
}

// enterTerm empties the table where the term is a new one.
func (t *leaseTable) enterTerm(term uint64, now time.Duration) {
	if t.term == term && t.entries != nil {
		return
	}
	*t = leaseTable{term: term, termStart: now, entries: map[string]*entryLease{}, revoked: map[string]string{}}
}

var (
	errRevoked     = fail.New(fail.Unavailable, "the entry is being marked dead; send the heartbeat again").WithRetryAfter(time.Second)
	errIncarnation = fail.New(fail.Unavailable, "an earlier incarnation of the entry may still hold its lease").WithRetryAfter(time.Second)
)

// renew answers a heartbeat by the state that the leader has applied. It
// grants the lease, or returns the registration that is to be committed first.
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

// view returns the newest view, which nobody may change. It is copied out of
// the machine once for each revision.
func (t *leaseTable) view(m *state.Machine) *wire.View {
	t.views.update(m)
	return t.views.newest
}

func registration(entry, current *wire.EntryVM) *wire.SetEntry {
	next := proto.Clone(entry).(*wire.EntryVM)
	next.Live = true
	return &wire.SetEntry{Entry: next, ExpectedRegistration: current.GetRegistration()}
}

// clearRevocation ends the revocation of an entry once the state says that its
// incarnation is dead or replaced.
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

// overAfter is how long a lease can last by the leader's clock, where the
// leader's clock is fast and the entry's slow.
func maxLeaseDuration(lease time.Duration) time.Duration {
	return time.Duration(float64(lease) * (1 + clockDrift) / (1 - clockDrift))
}

// expired reports whether the entry's lease is over for certain, on its own
// clock too. A new leader waits a whole lease before it says so.
func (t *leaseTable) expired(entry string, lease, now time.Duration) bool {
	lastHeartbeat := t.termStart
	if l := t.entries[entry]; l != nil {
		lastHeartbeat = l.receivedAt
	}
	return now-lastHeartbeat > maxLeaseDuration(lease)
}

// revokeExpired returns the entries that are marked as live though their lease is
// over, as they are to be recorded. None of them is granted a lease until that
// is committed.
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

// lagging returns the entries that may still serve by a view older than the
// revision.
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

// acknowledged returns the view revision that every live entry serves by.
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

// prune forgets the reports of entries that have been silent for long.
func (t *leaseTable) prune(now time.Duration) {
	for id, l := range t.entries {
		if now-l.receivedAt > reportRetention {
			delete(t.entries, id)
		}
	}
}

// inFlight returns how many requests the entries run on a resident.
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
