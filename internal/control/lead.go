package control

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"parsleyramp/internal/membership"
	"parsleyramp/internal/placement"
	"parsleyramp/internal/platform"
	"parsleyramp/internal/replica"
	"parsleyramp/internal/state"
	"parsleyramp/internal/wire"
)

// stepTimeout bounds one duty of the leader.
const stepTimeout = 2 * time.Second

// picture is a consistent copy of what the leader's duties depend on.
type picture struct {
	term     uint64
	view     *wire.View
	orders   []*wire.Order
	deferred []*wire.DeferredRequest
	// dead lists the entries whose lease is over for certain, as they are to
	// be recorded.
	dead []*wire.SetEntry
	idle map[string]bool
}

// expiryInterval is the time between two clearings of old records.
const expiryInterval = time.Minute

// overdue reports whether an overnight request is past its time.
func (p *picture) overdue(now time.Time) bool {
	return len(p.deferred) > 0 && p.deferred[0].FinishByUnixMs < now.Add(-deferredGrace).UnixMilli()
}

// lead carries out the leader's duties as long as this replica leads.
func (s *Server) lead(ctx context.Context) {
	tick := time.NewTicker(s.cfg.PollInterval.D())
	defer tick.Stop()
	lastExpiry := time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		p, err := s.picture(ctx)
		if err != nil {
			continue
		}
		s.step(ctx, p)
		if time.Since(lastExpiry) > expiryInterval || p.overdue(time.Now()) {
			lastExpiry = time.Now()
			s.expireRecords(ctx)
		}
	}
}

func (s *Server) step(ctx context.Context, p *picture) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	s.markDead(ctx, p)
	s.followLiveList(ctx, p)
	s.meetEngines(ctx, p)
	s.assignOwners(ctx, p)
	s.orders.resume(p)
	s.plan(ctx, p)
	s.assignDeferred(ctx, p)
}

func (s *Server) picture(ctx context.Context) (*picture, error) {
	p := &picture{idle: map[string]bool{}}
	err := s.node.Read(ctx, func(l replica.Leadership, m *state.Machine) {
		s.leases.enterTerm(l.Term, l.Now)
		p.term, p.view, p.orders, p.deferred = l.Term, m.View(), m.Orders(), m.DeferredWork()
		lease := s.cfg.EntryLease.D()
		p.dead = s.leases.condemn(p.view.Entries, lease, l.Now)
		s.leases.prune(l.Now)
		for _, r := range p.view.Residents {
			if r.State != wire.ResidentState_RESIDENT_STATE_DRAINING {
				continue
			}
			lagging := s.leases.lagging(p.view.Entries, r.StateRevision, lease, l.Now)
			p.idle[residentName(r)] = len(lagging) == 0 && s.leases.inFlight(r) == 0
		}
	})
	return p, err
}

func residentName(r *wire.Resident) string {
	return r.Endpoint + "|" + r.Model + "|" + r.Version + "|" + r.Adapter
}

// try proposes a command and logs a failure; the next look tries again.
func (s *Server) try(ctx context.Context, c *wire.Command, duty string) bool {
	r, err := s.propose(ctx, c)
	if err != nil {
		s.log.WithError(err).WithField("duty", duty).Warn("change not committed")
		return false
	}
	if !r.Applied {
		s.log.WithFields(logrus.Fields{"duty": duty, "reason": r.Reason}).Debug("change refused")
	}
	return r.Applied
}

// markDead records entries as lost. The mark is valid only in the term that
// condemned them.
func (s *Server) markDead(ctx context.Context, p *picture) {
	for _, gone := range p.dead {
		log := s.log.WithField("entry", gone.Entry.Id)
		r, err := s.node.ProposeInTerm(ctx, p.term, &wire.Command{Body: &wire.Command_SetEntry{SetEntry: gone}})
		switch {
		case err != nil:
			log.WithError(err).Warn("entry not marked as lost")
		case r.Applied:
			log.Warn("entry lost: its lease is over")
		}
	}
}

func endpointOf(vm platform.VM) *wire.Endpoint {
	kind := wire.EndpointKind_ENDPOINT_KIND_ENGINE
	if vm.Kind == platform.KindService {
		kind = wire.EndpointKind_ENDPOINT_KIND_SERVICE
	}
	return &wire.Endpoint{
		Id: vm.ID, Kind: kind, Address: vm.Address, Domain: vm.Domain, Service: vm.Service,
		Accelerators: vm.Accelerators, Leaving: vm.State == platform.Leaving, Reachable: true,
	}
}

// followLiveList records what the platform says. A VM that the list no longer
// names is leaving; it is forgotten only once it holds nothing.
func (s *Server) followLiveList(ctx context.Context, p *picture) {
	vms, err := s.list.VMs(ctx)
	if err != nil {
		s.log.WithError(err).Warn("live list not read")
		return
	}
	fencing := checksFencing(p.view.Sections)
	listed := map[string]bool{}
	for _, vm := range vms {
		listed[vm.ID] = true
		e := endpointOf(vm)
		e.ChecksFencing = fencing[vm.ID]
		if !s.knows(p, e) {
			s.try(ctx, &wire.Command{Body: &wire.Command_SetEndpoint{SetEndpoint: &wire.SetEndpoint{Endpoint: e}}}, "follow live list")
		}
	}
	for _, e := range p.view.Endpoints {
		if !listed[e.Id] && !e.Leaving {
			gone := proto.Clone(e).(*wire.Endpoint)
			gone.Leaving = true
			s.try(ctx, &wire.Command{Body: &wire.Command_SetEndpoint{SetEndpoint: &wire.SetEndpoint{Endpoint: gone}}}, "follow live list")
		}
	}
}

// knows reports whether the view holds what the platform says of an endpoint.
func (s *Server) knows(p *picture, e *wire.Endpoint) bool {
	for _, old := range p.view.Endpoints {
		if old.Id != e.Id {
			continue
		}
		e.Owner, e.OwnerEpoch = old.Owner, old.OwnerEpoch
		e.Incarnation, e.MemoryBytes, e.Slots = old.Incarnation, old.MemoryBytes, old.Slots
		e.Reachable = old.Reachable
		return proto.Equal(old, e)
	}
	return false
}

// checksFencing returns the engines of which a section says that they refuse
// older fencing numbers.
func checksFencing(sections []*wire.Section) map[string]bool {
	out := map[string]bool{}
	for _, s := range sections {
		parsed, err := parsedSections.ParseError(s.Team, s.Text)
		if err != nil {
			continue
		}
		for _, id := range parsed.ChecksFencing {
			out[id] = true
		}
	}
	return out
}

func (s *Server) assignOwners(ctx context.Context, p *picture) {
	for _, a := range membership.Owners(p.view.Entries, p.view.Endpoints) {
		s.try(ctx, &wire.Command{Body: &wire.Command_AssignOwner{AssignOwner: a}}, "assign owner")
	}
}

// plan asks the planner for the next steps and carries them out.
func (s *Server) plan(ctx context.Context, p *picture) {
	in := placement.Input{
		Endpoints: p.view.Endpoints, Residents: p.view.Residents, Orders: p.orders,
		Idle:   func(r *wire.Resident) bool { return p.idle[residentName(r)] },
		Budget: placement.Budget{ModelLoads: s.cfg.ModelLoads, AdapterLoads: s.cfg.AdapterLoads},
	}
	for _, section := range p.view.Sections {
		if parsed, err := parsedSections.ParseError(section.Team, section.Text); err == nil {
			in.Sections = append(in.Sections, parsed)
		}
	}
	incarnations := map[string]string{}
	for _, e := range p.view.Endpoints {
		incarnations[e.Id] = e.Incarnation
	}
	for _, step := range placement.Plan(in) {
		if s.try(ctx, commandOf(step, p.term, incarnations[step.Endpoint]), "placement") {
			s.log.WithFields(logrus.Fields{
				"action": step.Action.String(), "endpoint": step.Endpoint, "model": step.Model,
				"version": step.Version, "adapter": step.Adapter, "reason": step.Reason,
			}).Info("move decided")
		}
	}
}

func commandOf(step placement.Step, term uint64, incarnation string) *wire.Command {
	if step.Action == placement.Drain {
		return &wire.Command{Body: &wire.Command_SetResident{SetResident: &wire.SetResident{
			Endpoint: step.Endpoint, Model: step.Model, Version: step.Version, Adapter: step.Adapter,
			State: wire.ResidentState_RESIDENT_STATE_DRAINING,
		}}}
	}
	kind := wire.OrderKind_ORDER_KIND_LOAD
	if step.Action == placement.Unload {
		kind = wire.OrderKind_ORDER_KIND_UNLOAD
	}
	return &wire.Command{Body: &wire.Command_IssueOrder{IssueOrder: &wire.IssueOrder{Order: &wire.Order{
		FenceTerm: term, Kind: kind, Endpoint: step.Endpoint, Model: step.Model, Version: step.Version,
		Adapter: step.Adapter, MemoryBytes: step.Memory, Incarnation: incarnation, Reason: step.Reason,
	}}}}
}

// maxDeferredPerEntry bounds the overnight work that one entry runs at once.
const maxDeferredPerEntry = 16

// assignDeferred gives queued overnight work, earliest deadline first, to the
// live entries that run least of it.
func (s *Server) assignDeferred(ctx context.Context, p *picture) {
	for _, start := range deferredStarts(p.view.Entries, p.deferred) {
		s.try(ctx, &wire.Command{Body: &wire.Command_StartDeferred{StartDeferred: start}}, "assign overnight work")
	}
}

func deferredStarts(entries []*wire.EntryVM, work []*wire.DeferredRequest) []*wire.StartDeferred {
	running := map[string]int{}
	for _, d := range work {
		if d.State == wire.DeferredState_DEFERRED_STATE_RUNNING {
			running[d.RunnerEntry]++
		}
	}
	var out []*wire.StartDeferred
	for _, d := range work {
		if d.State != wire.DeferredState_DEFERRED_STATE_QUEUED {
			continue
		}
		var to *wire.EntryVM
		for _, e := range entries {
			if e.Live && !e.Draining && running[e.Id] < maxDeferredPerEntry && (to == nil || running[e.Id] < running[to.Id]) {
				to = e
			}
		}
		if to == nil {
			return out
		}
		running[to.Id]++
		out = append(out, &wire.StartDeferred{Id: d.Id, RunnerEntry: to.Id, RunnerIncarnation: to.Incarnation, ExpectedAttempt: d.Attempt})
	}
	return out
}

// deferredGrace leaves the runner of an overnight request time to record its
// own failure at the deadline.
const deferredGrace = 10 * time.Second

func (s *Server) expireRecords(ctx context.Context) {
	now := time.Now()
	s.try(ctx, &wire.Command{Body: &wire.Command_ExpireRecords{ExpireRecords: &wire.ExpireRecords{
		ClaimsBeforeUnixMs:   now.Add(-s.cfg.ClaimRetention.D()).UnixMilli(),
		DeferredBeforeUnixMs: now.Add(-s.cfg.DeferredRetention.D()).UnixMilli(),
		SuspectsBeforeUnixMs: now.Add(-s.cfg.SuspectRetention.D()).UnixMilli(),
		AppliesBeforeUnixMs:  now.Add(-s.cfg.ApplyRetention.D()).UnixMilli(),
		NowUnixMs:            now.Add(-deferredGrace).UnixMilli(),
	}}}, "expire records")
}
