package orders

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"parsleyramp/internal/desired"
	"parsleyramp/internal/endpoint"
	"parsleyramp/internal/placement"
	"parsleyramp/internal/state"
	"parsleyramp/internal/wire"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.steps": "150", "rapid.nofailfile": "true"} {
		set := false
		flag.Visit(func(f *flag.Flag) { set = set || f.Name == name })
		if !set {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

const (
	tick         = time.Second
	engineMB     = 100
	numEngines   = 4
	unstableTime = 60 * tick
)

var simConfig = Config{CopyLifetime: 15 * tick, RetryInterval: tick, MaxRetryInterval: 2 * tick, OrderTimeout: 12 * tick, MaxRejections: 2}

// fakeEngine is an engine that detects when loads exceed its memory.
type fakeEngine struct {
	id             string
	checksFencing  bool
	paused         bool
	loadTicks      int
	incarnation    int
	lastToken      fenceToken
	residents      map[string]*fakeResident
	overcommitted  bool
	rejectNextLoad bool
	// broken engines reject every load, even after endFaults.
	broken bool
}

type fakeResident struct {
	state endpoint.ResidentState
	// loading is the number of ticks until the load completes. The memory is in
	// use from the start of the load.
	loading int
}

func (e *fakeEngine) incarnationID() string { return fmt.Sprintf("%s-%d", e.id, e.incarnation) }

func (e *fakeEngine) restart() {
	e.incarnation++
	e.lastToken = fenceToken{}
	e.residents = map[string]*fakeResident{}
}

func (e *fakeEngine) used() uint64 {
	var sum uint64
	for _, r := range e.residents {
		sum += r.state.MemoryBytes
	}
	return sum
}

func (e *fakeEngine) execute(o *wire.Order) *endpoint.OrderResult {
	token := tokenOf(o)
	if o.Incarnation != e.incarnationID() {
		return &endpoint.OrderResult{Reason: "incarnation"}
	}
	if e.checksFencing && (token.term < e.lastToken.term || (token.term == e.lastToken.term && token.sequence < e.lastToken.sequence)) {
		return &endpoint.OrderResult{Reason: "stale_fence"}
	}
	e.lastToken = token
	key := endpoint.ServedName(o.Model, o.Version, o.Adapter)
	if o.Kind == wire.OrderKind_ORDER_KIND_UNLOAD {
		delete(e.residents, key)
		return &endpoint.OrderResult{Done: true}
	}
	if e.rejectNextLoad || e.broken {
		e.rejectNextLoad = false
		return &endpoint.OrderResult{Reason: "busy"}
	}
	if e.residents[key] == nil {
		e.residents[key] = &fakeResident{loading: e.loadTicks, state: endpoint.ResidentState{Model: o.Model, Version: o.Version, Adapter: o.Adapter, MemoryBytes: o.MemoryBytes}}
		e.overcommitted = e.overcommitted || e.used() > engineMB<<20
	}
	return &endpoint.OrderResult{Done: true}
}

func (e *fakeEngine) readState() *endpoint.EngineState {
	s := &endpoint.EngineState{Incarnation: e.incarnationID(), MemoryBytes: engineMB << 20, UsedBytes: e.used(), Slots: 4}
	if e.checksFencing {
		s.FenceTerm, s.FenceSequence = e.lastToken.term, e.lastToken.sequence
	}
	for _, r := range e.residents {
		if r.loading == 0 {
			s.Residents = append(s.Residents, r.state)
		}
	}
	return s
}

// orderCopy is one copy of an order that has not yet been delivered or lost.
type orderCopy struct {
	order   *wire.Order
	replica uint64
	term    uint64
	// unsent copies have passed the lease check but not yet left the replica.
	unsent bool
	// disconnected copies have no connection and are dropped at deadline.
	disconnected bool
	deadline     time.Duration
}

type sim struct {
	t       *rapid.T
	now     time.Duration
	index   uint64
	machine *state.Machine
	leader  uint64
	term    uint64
	tracker *Tracker
	gates   map[uint64]*Gate
	paused  map[uint64]bool
	engines []*fakeEngine
	copies  []*orderCopy
	// pastResets are all ResetEngine commands proposed so far. The action "delayed
	// command" applies one of them again.
	pastResets []*wire.Command
	// unstableUntil holds, by engine, until when it is considered unstable.
	unstableUntil map[string]time.Duration
	revision      uint64
	faultsEnded   bool
}

func newSim(t *rapid.T) *sim {
	s := &sim{t: t, machine: state.New(), leader: 1, term: 1, tracker: NewTracker(simConfig), gates: map[uint64]*Gate{}, paused: map[uint64]bool{}, unstableUntil: map[string]time.Duration{}}
	for id := uint64(1); id <= 3; id++ {
		s.gates[id] = NewGate()
	}
	for i := range numEngines {
		e := &fakeEngine{id: fmt.Sprintf("engine-%d", i), checksFencing: rapid.Bool().Draw(t, "checks")}
		e.restart()
		s.engines = append(s.engines, e)
		s.apply(&wire.Command{Body: &wire.Command_SetEndpoint{SetEndpoint: &wire.SetEndpoint{Endpoint: &wire.Endpoint{
			Id: e.id, Kind: wire.EndpointKind_ENDPOINT_KIND_ENGINE, Domain: fmt.Sprintf("domain-%d", i%2), ChecksFencing: e.checksFencing, Reachable: true,
		}}}})
	}
	s.changeDocument()
	return s
}

func (s *sim) apply(c *wire.Command) *wire.CommandResult {
	s.index++
	c.ProposedUnixMs = s.now.Milliseconds()
	return s.machine.Apply(s.index, c)
}

// changeDocument declares two to four models of random sizes and versions.
func (s *sim) changeDocument() {
	var models []string
	for i := range rapid.IntRange(2, 4).Draw(s.t, "models") {
		version := rapid.IntRange(1, 3).Draw(s.t, "version")
		memory := rapid.SampledFrom([]int{25, 40, 45}).Draw(s.t, "memory")
		adapter := ""
		if i == 0 {
			adapter = `{"name": "a", "version": "1", "memory_mb": 5}`
		}
		models = append(models, fmt.Sprintf(`{"name": "m%d", "version": "%d-%d", "memory_mb": %d, "replicas": 2, "adapters": [%s]}`, i, version, memory, memory, adapter))
	}
	text := fmt.Sprintf(`{"team": "t", "models": [%s]}`, strings.Join(models, ","))
	r := s.apply(&wire.Command{Body: &wire.Command_ApplySection{ApplySection: &wire.ApplySection{
		Team: "t", BaseRevision: s.revision, OrderId: fmt.Sprintf("o%d", s.index), Text: []byte(text),
	}}})
	if r.Apply.GetOutcome() != wire.ApplyOutcome_APPLY_OUTCOME_ACCEPTED {
		s.t.Fatalf("section not accepted: %v", r)
	}
	s.revision = r.Apply.Revision
}

func (s *sim) engine(id string) *fakeEngine {
	return s.engines[slices.IndexFunc(s.engines, func(e *fakeEngine) bool { return e.id == id })]
}

// tick advances time by one poll of the leader, with all its effects.
func (s *sim) tick() {
	s.now += tick
	for _, e := range s.engines {
		for _, r := range e.residents {
			if !e.paused && r.loading > 0 {
				r.loading--
			}
		}
	}
	s.expireCopies()
	if s.paused[s.leader] {
		return
	}
	s.readEngines()
	if terms := s.machine.SendTerms(); len(terms) == 0 || terms[len(terms)-1].Term != s.term {
		s.apply(&wire.Command{Body: &wire.Command_StartTerm{StartTerm: &wire.StartTerm{Term: &wire.SendTerm{Term: s.term, Replica: s.leader}}}})
		return
	}
	s.processOrders()
	s.plan()
}

// expireCopies drops disconnected copies once their engine has been responsive
// for CopyLifetime.
func (s *sim) expireCopies() {
	for _, c := range s.copies {
		if c.disconnected && s.engine(c.order.Endpoint).paused {
			c.deadline = s.now + simConfig.CopyLifetime
		}
	}
	s.copies = slices.DeleteFunc(s.copies, func(c *orderCopy) bool { return c.disconnected && s.now >= c.deadline })
}

func (s *sim) readEngines() {
	recorded := map[string]*wire.Endpoint{}
	for _, vm := range s.machine.Endpoints() {
		recorded[vm.Id] = vm
	}
	for _, e := range s.engines {
		vm := recorded[e.id]
		if reachable := !e.paused; reachable != vm.Reachable {
			vm.Reachable = reachable
			s.apply(&wire.Command{Body: &wire.Command_SetEndpoint{SetEndpoint: &wire.SetEndpoint{Endpoint: vm}}})
		}
		if e.paused {
			s.tracker.RecordState(s.term, e.id, s.now, nil)
			continue
		}
		st := e.readState()
		s.tracker.RecordState(s.term, e.id, s.now, st)
		if st.Incarnation == vm.Incarnation {
			continue
		}
		c := &wire.Command{Body: &wire.Command_ResetEngine{ResetEngine: &wire.ResetEngine{
			Id: e.id, Incarnation: st.Incarnation, ExpectedIncarnation: vm.Incarnation, MemoryBytes: st.MemoryBytes, Slots: 4,
		}}}
		s.pastResets = append(s.pastResets, c)
		s.apply(c)
	}
}

func (s *sim) processOrders() {
	view := s.machine.View()
	effects := s.tracker.Step(s.now+tick/2, Snapshot{
		Term: s.term, Endpoints: view.Endpoints, Residents: view.Residents, Orders: s.machine.Orders(),
		Copies: s.machine.OutstandingCopies(), SendTerms: s.machine.SendTerms(), Members: []uint64{1, 2, 3},
	})
	for _, o := range effects.Send {
		if s.gates[s.leader].Begin(s.term) {
			s.copies = append(s.copies, &orderCopy{order: o, replica: s.leader, term: s.term, unsent: !s.faultsEnded && rapid.Bool().Draw(s.t, "held")})
		}
	}
	for _, r := range effects.Resolve {
		s.apply(&wire.Command{Body: &wire.Command_ResolveOrder{ResolveOrder: r.Command}})
		if r.Command.Outcome == wire.OrderOutcome_ORDER_OUTCOME_UNKNOWN {
			s.unstableUntil[r.Order.Endpoint] = s.now + unstableTime
		}
	}
	for _, c := range effects.Clear {
		s.apply(&wire.Command{Body: &wire.Command_ClearCopies{ClearCopies: c}})
	}
	for _, l := range effects.DrainMissing {
		s.apply(&wire.Command{Body: &wire.Command_SetResident{SetResident: l}})
	}
	for _, id := range effects.QueryReplicas {
		if !s.paused[id] && s.gates[id].Fence(s.term) == 0 {
			s.tracker.RecordStopped(s.now+tick/2, s.term, id)
		}
	}
}

func (s *sim) planInput() placement.Input {
	view := s.machine.View()
	in := placement.Input{
		Endpoints: view.Endpoints, Residents: view.Residents, Orders: s.machine.Orders(),
		Idle:   func(*wire.Resident) bool { return true },
		Budget: placement.Budget{ModelLoads: 3, AdapterLoads: 4, ModelStarts: 3},
		Health: map[string]placement.Health{},
	}
	for id, until := range s.unstableUntil {
		in.Health[id] = placement.Health{Unstable: s.now < until}
	}
	for _, section := range view.Sections {
		if parsed, err := desired.ParseSection(section.Text); err == nil {
			in.Sections = append(in.Sections, parsed)
		}
	}
	return in
}

func (s *sim) plan() {
	incarnations := map[string]string{}
	for _, vm := range s.machine.Endpoints() {
		incarnations[vm.Id] = vm.Incarnation
	}
	for _, step := range placement.Plan(s.planInput()).Steps {
		s.apply(step.Command(s.term, incarnations[step.Endpoint]))
	}
}

// randomCopy returns a random copy for which ok returns true, or nil if there is none.
func (s *sim) randomCopy(ok func(*orderCopy) bool) *orderCopy {
	var open []*orderCopy
	for _, c := range s.copies {
		if ok(c) {
			open = append(open, c)
		}
	}
	if len(open) == 0 {
		return nil
	}
	return rapid.SampledFrom(open).Draw(s.t, "copy")
}

// deliver executes a copy on its engine and passes the result to the sender if
// the copy still has a connection. With duplicate, the copy stays and may be
// delivered again.
func (s *sim) deliver(duplicate bool) {
	c := s.randomCopy(func(c *orderCopy) bool { return !c.unsent && !s.engine(c.order.Endpoint).paused })
	if c == nil {
		return
	}
	result := s.engine(c.order.Endpoint).execute(c.order)
	if !c.disconnected {
		s.closeConnection(c, result)
	}
	if !duplicate {
		s.copies = slices.DeleteFunc(s.copies, func(x *orderCopy) bool { return x == c })
	}
}

// closeConnection closes the connection of a copy and notifies its sender.
func (s *sim) closeConnection(c *orderCopy, result *endpoint.OrderResult) {
	c.disconnected, c.deadline = true, s.now+simConfig.CopyLifetime
	s.gates[c.replica].End(c.term)
	if c.replica == s.leader && c.term == s.term {
		s.tracker.RecordResult(s.now, c.term, c.order, result)
	}
}

// elect makes a replica that is not paused the leader of a new term. A former
// leader that is not paused closes its connections, except those of copies that
// have passed the lease check. The connections of a paused one stay open.
func (s *sim) elect() {
	for _, c := range s.copies {
		if c.replica == s.leader && !c.disconnected && !s.paused[s.leader] {
			if c.unsent {
				// It passed the lease check, so it is sent after the term ended.
				continue
			}
			s.closeConnection(c, nil)
		}
	}
	candidates := slices.DeleteFunc([]uint64{1, 2, 3}, func(id uint64) bool { return s.paused[id] })
	s.leader = rapid.SampledFrom(candidates).Draw(s.t, "leader")
	s.term++
	s.tracker = NewTracker(simConfig)
}

func (s *sim) actions() map[string]func(*rapid.T) {
	engine := func() *fakeEngine { return rapid.SampledFrom(s.engines).Draw(s.t, "engine") }
	tickAction := func(*rapid.T) { s.tick() }
	wait := func(*rapid.T) {
		for range 8 {
			s.tick()
		}
	}
	deliver := func(*rapid.T) { s.deliver(false) }
	return map[string]func(*rapid.T){
		"tick": tickAction, "tick2": tickAction, "tick3": tickAction,
		"wait": wait, "wait2": wait,
		"deliver": deliver, "deliver2": deliver, "deliver3": deliver,
		"repeat": func(*rapid.T) { s.deliver(true) },
		"close": func(*rapid.T) {
			if c := s.randomCopy(func(c *orderCopy) bool { return !c.disconnected && !c.unsent }); c != nil {
				s.closeConnection(c, nil)
			}
		},
		"lose": func(*rapid.T) {
			if c := s.randomCopy(func(c *orderCopy) bool { return !c.disconnected && !c.unsent }); c != nil {
				s.closeConnection(c, nil)
				s.copies = slices.DeleteFunc(s.copies, func(x *orderCopy) bool { return x == c })
			}
		},
		"release": func(*rapid.T) {
			if c := s.randomCopy(func(c *orderCopy) bool { return c.unsent && !s.paused[c.replica] }); c != nil {
				c.unsent = false
			}
		},
		"restart": func(*rapid.T) {
			if rapid.IntRange(0, 3).Draw(s.t, "rare") == 0 {
				engine().restart()
			}
		},
		"freeze engine":   func(*rapid.T) { engine().paused = true },
		"unfreeze engine": func(*rapid.T) { engine().paused = false },
		"refuse":          func(*rapid.T) { engine().rejectNextLoad = true },
		"break": func(*rapid.T) {
			if s.engines[0].broken = rapid.IntRange(0, 3).Draw(s.t, "rare") == 0; s.engines[0].broken {
				s.engines[0].restart()
			}
		},
		"slow loads": func(*rapid.T) { engine().loadTicks = rapid.SampledFrom([]int{1, 8, 40}).Draw(s.t, "ticks") },
		"evict": func(*rapid.T) {
			model := fmt.Sprintf("t/m%d", rapid.IntRange(0, 3).Draw(s.t, "model"))
			for _, e := range s.engines {
				maps.DeleteFunc(e.residents, func(_ string, r *fakeResident) bool { return r.state.Model == model && r.loading == 0 })
			}
		},
		"freeze leader": func(*rapid.T) {
			if len(s.paused) == 0 {
				s.paused[s.leader] = true
				s.elect()
			}
		},
		"thaw replicas": func(*rapid.T) { clear(s.paused) },
		"elect":         func(*rapid.T) { s.elect() },
		"document": func(*rapid.T) {
			if rapid.IntRange(0, 2).Draw(s.t, "rare") > 0 {
				s.changeDocument()
			}
		},
		// The document may declare that an engine that checks fencing tokens does not.
		"fencing in the document": func(*rapid.T) {
			vms := s.machine.Endpoints()
			vm := rapid.SampledFrom(vms).Draw(s.t, "engine")
			vm.ChecksFencing = s.engine(vm.Id).checksFencing && rapid.Bool().Draw(s.t, "declared")
			s.apply(&wire.Command{Body: &wire.Command_SetEndpoint{SetEndpoint: &wire.SetEndpoint{Endpoint: vm}}})
		},
		"delayed command": func(*rapid.T) {
			if len(s.pastResets) > 0 {
				s.apply(rapid.SampledFrom(s.pastResets).Draw(s.t, "past"))
			}
		},
		"snapshot": func(*rapid.T) {
			data, err := s.machine.Snapshot()
			if err == nil {
				s.machine, err = state.Restore(data)
			}
			if err != nil {
				s.t.Fatal(err)
			}
		},
		"": func(*rapid.T) { s.check() },
	}
}

// check compares the charged memory in the ledger with the memory in use on the
// engines.
func (s *sim) check() {
	for _, vm := range s.machine.Endpoints() {
		e := s.engine(vm.Id)
		if e.overcommitted {
			s.t.Fatalf("%s is overcommitted: loads exceed its memory", e.id)
		}
		if charged := s.machine.ChargedBytes(e.id); vm.Incarnation == e.incarnationID() && charged < e.used() {
			s.t.Fatalf("%s uses %d bytes, but only %d are charged", e.id, e.used(), charged)
		}
	}
}

// endFaults ends all faults except broken engines. It then runs the ticks and
// delivers every copy before each of them.
func (s *sim) endFaults(ticks int) {
	s.faultsEnded = true
	clear(s.paused)
	for _, e := range s.engines {
		e.paused, e.loadTicks = false, 1
	}
	for _, c := range s.copies {
		c.unsent = false
	}
	for range ticks {
		for len(s.copies) > 0 {
			s.deliver(false)
			s.check()
		}
		s.tick()
		s.check()
	}
}

// checkAllReady requires that every declared model and adapter is ready in the
// ledger and loaded on that engine, and that no order stays open beyond
// OrderTimeout.
func (s *sim) checkAllReady() {
	ready := map[string]bool{}
	for _, r := range s.machine.View().Residents {
		key := endpoint.ServedName(r.Model, r.Version, r.Adapter)
		resident := s.engine(r.Endpoint).residents[key]
		if r.State == wire.ResidentState_RESIDENT_STATE_READY && resident != nil && resident.loading == 0 {
			ready[key] = true
		}
	}
	for _, section := range s.planInput().Sections {
		for _, m := range section.Models {
			name := desired.FullName(section.Team, m.Name)
			if !ready[endpoint.ServedName(name, m.Version, "")] {
				s.t.Fatalf("%s version %s is not ready on any engine", name, m.Version)
			}
			for _, a := range m.Adapters {
				if !ready[endpoint.ServedName(name, m.Version, a.Name+"@"+a.Version)] {
					s.t.Fatalf("adapter %s of %s is not ready on any engine", a.Name, name)
				}
			}
		}
	}
	for _, o := range s.machine.Orders() {
		if age := s.now - time.Duration(o.IssuedUnixMs)*time.Millisecond; age > simConfig.OrderTimeout+2*tick {
			s.t.Fatalf("order open for %v, beyond its time-out: %v", age, o)
		}
	}
}

// recoveryTicks bounds the time until everything is ready once faults stop. It
// covers an abandoned order, the clearing of its copies, the unload, and the
// loads that wait for that.
const recoveryTicks = 250

// TestOrdersUnderFaults runs the planner, the tracker and the ledger under lost,
// late, duplicate and reordered orders, restarts, pauses, and changes of leader
// and document. No engine may be overcommitted or use uncharged memory, and once
// the faults stop, everything that is declared must become ready.
func TestOrdersUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t)
		t.Repeat(s.actions())
		s.endFaults(recoveryTicks)
		s.checkAllReady()
	})
}
