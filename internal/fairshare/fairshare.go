// Package fairshare divides the slots of a service among workspaces. It names those that use
// more than their weighted max-min fair share while the service is nearly full.
package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// window is the time constant with which use ages: long compared with the interval of
	// reports, short enough that a workspace is named within seconds.
	window = 2 * time.Second
	// contendedUse and uncontendedUse are the use of a service, as a share of its slots, from
	// which shares count and below which they no longer do. Endpoints fill unevenly: some are
	// full well before all are. The gap between the two exceeds the use that yielding removes,
	// so that it does not end by itself.
	contendedUse   = 0.8
	uncontendedUse = 0.65
	// overShare is the use, relative to the share, from which a workspace is named; one that is
	// named stays so until its use is within the share, so that it is not named and unnamed in
	// turn.
	overShare = 1.1
	// minUse is the use, in slots, below which a workspace counts as idle.
	minUse = 0.01
)

// Use is how many slots a workspace uses on average.
type Use struct {
	Slots float64
	// Weight is positive.
	Weight float64
}

// Level returns the use for each unit of weight up to which the uses are granted in full, so
// that the grants add up to the capacity (max-min fairness); infinity if they are less.
func Level(capacity float64, uses []Use) float64 {
	sorted := slices.Clone(uses)
	slices.SortFunc(sorted, func(a, b Use) int { return cmp.Compare(a.Slots/a.Weight, b.Slots/b.Weight) })
	weights := 0.0
	for _, u := range sorted {
		weights += u.Weight
	}
	for _, u := range sorted {
		level := max(capacity, 0) / weights
		if u.Slots/u.Weight > level {
			return level
		}
		capacity -= u.Slots
		weights -= u.Weight
	}
	return math.Inf(1)
}

// Excess is the use of a workspace that is above its share, in slots.
type Excess struct {
	Workspace  string
	Use, Share float64
}

// Service tracks the use of one service. It is not safe for concurrent use.
type Service struct {
	since, agedTo time.Duration
	records       map[string]*record
	contended     bool
}

type record struct {
	// slotSeconds is the aged sum of the slot time, in seconds.
	slotSeconds float64
	over        bool
}

// NewService returns a service whose use is not known before now. It names no workspace until
// it has seen the use of a whole window.
func NewService(now time.Duration) *Service {
	return &Service{since: now, agedTo: now, records: map[string]*record{}}
}

// Record adds slot time that a workspace used up to now. The empty name stands for requests
// without a workspace.
func (s *Service) Record(workspace string, slotTime, now time.Duration) {
	s.age(now)
	r := s.records[workspace]
	if r == nil {
		r = &record{}
		s.records[workspace] = r
	}
	r.slotSeconds += slotTime.Seconds()
}

func (s *Service) age(now time.Duration) {
	if now <= s.agedTo {
		return
	}
	factor := math.Exp(-(now - s.agedTo).Seconds() / window.Seconds())
	s.agedTo = now
	for name, r := range s.records {
		if r.slotSeconds *= factor; r.slots() < minUse {
			delete(s.records, name)
		}
	}
}

func (r *record) slots() float64 { return r.slotSeconds / window.Seconds() }

// Evaluate returns the workspaces that use more than their share of the slots, in the order of
// their names. It responds to a workspace that sends far more than usual while others need the
// slots. The share of a workspace is never below its part of the slots by weight, and what
// others do not use of theirs is shared; weight returns that of a workspace.
func (s *Service) Evaluate(slots int, weight func(workspace string) float64, now time.Duration) []Excess {
	s.age(now)
	total, weights := 0.0, 0.0
	var uses []Use
	for name, r := range s.records {
		total += r.slots()
		if name != "" {
			uses = append(uses, Use{r.slots(), weight(name)})
			weights += weight(name)
		}
	}
	threshold := contendedUse
	if s.contended {
		threshold = uncontendedUse
	}
	s.contended = slots > 0 && now-s.since >= window && total >= threshold*float64(slots)
	if !s.contended {
		for _, r := range s.records {
			r.over = false
		}
		return nil
	}
	// Requests without a workspace have no share: what they use is not there to be divided.
	unowned := 0.0
	if r := s.records[""]; r != nil {
		unowned = r.slots()
	}
	level := max(Level(uncontendedUse*float64(slots)-unowned, uses), (float64(slots)-unowned)/weights)
	return s.name(level, weight)
}

// name returns the workspaces whose use is above the level.
func (s *Service) name(level float64, weight func(string) float64) []Excess {
	var out []Excess
	for name, r := range s.records {
		if name == "" {
			continue
		}
		share := level * weight(name)
		threshold := overShare
		if r.over {
			threshold = 1
		}
		if r.over = r.slots() > threshold*share; r.over {
			out = append(out, Excess{name, r.slots(), share})
		}
	}
	slices.SortFunc(out, func(a, b Excess) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return out
}
