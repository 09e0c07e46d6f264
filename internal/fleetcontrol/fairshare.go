package fleetcontrol

import (
	"time"

	"github.com/sirupsen/logrus"

	"parsleyramp/internal/document"
	"parsleyramp/internal/fairshare"
	"parsleyramp/internal/fleet"
	"parsleyramp/internal/wire"
)

// shareInterval is the time between two computations of shares, which is that of the reports
// of a gateway.
const shareInterval = 100 * time.Millisecond

// fairShares is what the leader knows of the use of services by workspaces. leaderState.mu
// guards it.
type fairShares struct {
	services map[string]*fairshare.Service
	// declared are the names of the workspaces of declaredBy.
	declared   map[string]bool
	declaredBy *document.Document
	computedAt time.Duration
	// excess are the workspaces above their shares at that time.
	excess []*wire.WorkspaceExcess
}

// shareKey names a workspace at a service.
type shareKey struct{ workspace, service string }

// sharesSlots reports whether the slots of the service are shared fairly: where a target of it
// leaves time to wait. Otherwise a request that yields is late.
func sharesSlots(d *document.Document, service string) bool {
	for i := range d.Routes {
		r := &d.Routes[i]
		if r.Serves(service) && fleet.LeavesTimeToWait(r.TargetLatency) {
			return true
		}
	}
	return false
}

// ingestUse adds what workspaces used according to a report. l.mu must be held.
func (l *leaderState) ingestUse(r *wire.SyncRequest, now time.Duration) {
	if l.doc == nil || len(l.doc.Workspaces) == 0 {
		return
	}
	for _, u := range r.WorkspaceUse {
		if l.doc.Service(u.Service) == nil || u.Workspace != "" && !l.declares(u.Workspace) {
			continue
		}
		s := l.shares.services[u.Service]
		if s == nil {
			// The use before the first report since this leader began is not known.
			s = fairshare.NewService(now)
			l.shares.services[u.Service] = s
		}
		s.Record(u.Workspace, time.Duration(u.SlotMs)*time.Millisecond, now)
	}
}

// declares reports whether the document declares the workspace. l.mu must be held.
func (l *leaderState) declares(workspace string) bool {
	f := &l.shares
	if f.declaredBy != l.doc {
		f.declaredBy, f.declared = l.doc, make(map[string]bool, len(l.doc.Workspaces))
		for i := range l.doc.Workspaces {
			f.declared[l.doc.Workspaces[i].Name] = true
		}
	}
	return f.declared[workspace]
}

// workspaceExcess returns the workspaces that use more than their share of a service. l.mu must
// be held.
func (l *leaderState) workspaceExcess(now time.Duration) []*wire.WorkspaceExcess {
	if l.doc == nil || len(l.doc.Workspaces) == 0 {
		l.shares.excess, l.shares.services = nil, map[string]*fairshare.Service{}
		return nil
	}
	if now-l.shares.computedAt < shareInterval {
		return l.shares.excess
	}
	before := map[shareKey]bool{}
	for _, x := range l.shares.excess {
		before[shareKey{x.Workspace, x.Service}] = true
	}
	l.shares.computedAt, l.shares.excess = now, nil
	slots := l.slotsByService(now)
	for i := range l.doc.Services {
		l.computeShares(l.doc.Services[i].Name, slots, before, now)
	}
	for k := range before {
		l.s.log.WithFields(logrus.Fields{"workspace": k.workspace, "service": k.service, "term": l.term}).Info("workspace is within its fair share again")
	}
	return l.shares.excess
}

// computeShares adds the workspaces above their share of the service, and removes them from
// before. l.mu must be held.
func (l *leaderState) computeShares(service string, slots map[string]int, before map[shareKey]bool, now time.Duration) {
	s := l.shares.services[service]
	if s == nil || !sharesSlots(l.doc, service) {
		return
	}
	for _, x := range s.Evaluate(slots[service], equalWeight, now) {
		k := shareKey{x.Workspace, service}
		if !before[k] {
			sharesExceeded.Inc()
			l.s.log.WithFields(logrus.Fields{
				"workspace": x.Workspace, "service": service, "use": x.Use, "share": x.Share, "slots": slots[service], "term": l.term,
			}).Info("workspace exceeds its fair share")
		}
		delete(before, k)
		l.shares.excess = append(l.shares.excess, &wire.WorkspaceExcess{Workspace: x.Workspace, Service: service, UsePermille: usePermille(x)})
	}
}

// equalWeight is the weight of each workspace: the document has no field for weights.
func equalWeight(string) float64 { return 1 }

// maxUsePermille bounds the stated excess: beyond a thousandfold nothing changes.
const maxUsePermille = 1_000_000

// usePermille returns the use divided by the share, in thousandths: above 1000.
func usePermille(x fairshare.Excess) uint32 {
	if x.Share*maxUsePermille <= x.Use*1000 {
		return maxUsePermille
	}
	return max(uint32(1000*x.Use/x.Share), 1001)
}

// slotsByService returns how many slots the endpoints of each service have that take requests.
// l.mu must be held.
func (l *leaderState) slotsByService(now time.Duration) map[string]int {
	out := map[string]int{}
	for id, e := range l.engines {
		if !e.leaving() && !l.detector.dead(id, now) {
			out[e.listed.Service] += e.listed.Slots
		}
	}
	return out
}
