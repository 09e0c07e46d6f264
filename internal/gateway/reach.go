package gateway

import (
	"context"
	"errors"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"parsleyramp/internal/fail"
	"parsleyramp/internal/fleet"
	"parsleyramp/internal/upstream"
	"parsleyramp/internal/wait"
)

const (
	// reachInterval is the time between two looks at whether endpoints are silent.
	reachInterval = 100 * time.Millisecond
	// reachCheckTimeout bounds the check of a group, and reachSample the endpoints that are
	// checked.
	reachCheckTimeout = 600 * time.Millisecond
	reachSample       = 3
	// reachHold is how long a connection of a check must stay open.
	reachHold = 2 * upstream.HoldTime
)

// reach is what this gateway knows of the endpoints that it reaches. Its zero value reaches
// all. It is safe for concurrent use.
type reach struct {
	mu    sync.Mutex
	state fleet.Reach
}

// watchReach checks the groups of endpoints that this gateway may not reach, until ctx ends.
func (g *Gateway) watchReach(ctx context.Context) {
	for wait.For(ctx, reachInterval) {
		v := g.view.Load()
		if v == nil {
			continue
		}
		now := g.clock()
		silent := g.loads.SilentGroups(v, now)
		g.reach.mu.Lock()
		for _, e := range silent {
			g.reach.state.RecordFailure(fleet.GroupOf(e), e.ID, now)
		}
		due := g.reach.state.Due(v.GroupSizes(), now)
		g.reach.mu.Unlock()
		for _, group := range due {
			go g.checkGroup(ctx, v, group)
		}
		g.updateOutOfReach(v)
	}
}

// checkGroup checks whether any endpoint of a sample of the group accepts a connection.
func (g *Gateway) checkGroup(ctx context.Context, v *fleet.View, group fleet.Group) {
	var members []*fleet.Endpoint
	for _, e := range v.Service(group.Service) {
		if e.Domain == group.Domain {
			members = append(members, e)
		}
	}
	first := int(g.randFloat() * float64(len(members)))
	members = slices.Concat(members[first:], members[:first])
	members = members[:min(len(members), reachSample)]
	ctx, cancel := context.WithTimeout(ctx, reachCheckTimeout)
	defer cancel()
	accepted := make(chan bool, len(members))
	for _, e := range members {
		go func() { accepted <- g.pool.Accepts(ctx, e.Address, reachHold) }()
	}
	check := fleet.Check{Sampled: len(members)}
	for range members {
		if <-accepted {
			check.Accepted++
		}
	}
	g.reach.mu.Lock()
	changed := g.reach.state.RecordCheck(group, check, g.clock())
	reached := !g.reach.state.Cut(group)
	g.reach.mu.Unlock()
	reachChecks.count(reached)
	if changed {
		g.log.WithFields(logrus.Fields{"service": group.Service, "domain": group.Domain, "reached": reached}).Warn("reach of endpoints changed")
		g.updateOutOfReach(v)
		g.changed.notify()
	}
}

// updateOutOfReach makes the choice of endpoints know which of them are out of reach.
func (g *Gateway) updateOutOfReach(v *fleet.View) {
	g.reach.mu.Lock()
	defer g.reach.mu.Unlock()
	if !g.reach.state.AnyCut() && g.loads.OutOfReachCount() == 0 {
		return
	}
	out := map[string]bool{}
	for _, e := range v.Endpoints {
		if g.reach.state.Cut(fleet.GroupOf(e)) {
			out[e.ID] = true
		}
	}
	g.loads.SetOutOfReach(out, len(v.Endpoints))
}

// recordUnreached records that an endpoint was not reached, if err is of a kind that a lost
// link causes.
func (g *Gateway) recordUnreached(e *fleet.Endpoint, err error) {
	lost := errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, os.ErrDeadlineExceeded)
	if !lost && fail.From(err).Ran != fail.RanNo {
		return
	}
	g.reach.mu.Lock()
	defer g.reach.mu.Unlock()
	g.reach.state.RecordFailure(fleet.GroupOf(e), e.ID, g.clock())
}

// unreachedServices returns the services none of whose endpoints this gateway reaches.
func (g *Gateway) unreachedServices() []string {
	v := g.view.Load()
	if v == nil || g.loads.OutOfReachCount() == 0 {
		return nil
	}
	reached := map[string]bool{}
	for _, e := range v.Endpoints {
		reached[e.Service] = reached[e.Service] || !g.loads.OutOfReach(e.ID)
	}
	var out []string
	for service, ok := range reached {
		if !ok {
			out = append(out, service)
		}
	}
	slices.Sort(out)
	return out
}
