package control

import (
	"time"

	"parsleyramp/internal/wire"
)

// clockDrift is the largest share by which two VMs' clock rates may differ.
const clockDrift = 0.1

// entryLease is what the leader remembers of one entry's last heartbeat.
type entryLease struct {
	incarnation  string
	heardAt      time.Duration
	viewRevision uint64
	reports      map[string]*wire.EndpointReport
}

// leaseTable is the leader's memory of heartbeats. It starts empty in every
// term. Only the control goroutine touches it.
type leaseTable struct {
	term    uint64
	since   time.Duration
	entries map[string]*entryLease
}

// enterTerm empties the table where the term is a new one.
func (t *leaseTable) enterTerm(term uint64, now time.Duration) {
	if t.term == term && t.entries != nil {
		return
	}
	*t = leaseTable{term: term, since: now, entries: map[string]*entryLease{}}
}

func (t *leaseTable) heartbeat(r *wire.HeartbeatRequest, now time.Duration) {
	l := &entryLease{
		incarnation:  r.Entry.GetIncarnation(),
		heardAt:      now,
		viewRevision: r.ViewRevision,
		reports:      map[string]*wire.EndpointReport{},
	}
	for _, e := range r.Endpoints {
		l.reports[e.Endpoint] = e
	}
	t.entries[r.Entry.GetId()] = l
}

// expired reports whether the entry's lease is over for certain, on its own
// clock too. A new leader waits a whole lease before it says so.
func (t *leaseTable) expired(entry string, lease, now time.Duration) bool {
	last := t.since
	if l := t.entries[entry]; l != nil {
		last = l.heardAt
	}
	return now-last > time.Duration(float64(lease)*(1+clockDrift))
}

// lagging returns the live entries that may still serve by a view older than
// the revision.
func (t *leaseTable) lagging(entries []*wire.EntryVM, revision uint64, lease, now time.Duration) []string {
	var out []string
	for _, e := range entries {
		if t.expired(e.Id, lease, now) {
			continue
		}
		if l := t.entries[e.Id]; l == nil || l.viewRevision < revision {
			out = append(out, e.Id)
		}
	}
	return out
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
