package quota

import "time"

// Demand is the costs of the requests of one workspace that wait for an answer.
type Demand struct {
	Workspace string
	Costs     []float64
}

// Begin returns the next call, with the requests that wait. It must be followed by Finish or
// Fail before the next.
func (w *Wallet) Begin(demands []Demand, now time.Duration) *Call {
	w.sequence++
	c := &Call{
		Gateway: w.gateway, Incarnation: w.incarnation, Leadership: w.leadership, Sequence: w.sequence, Answered: w.answered,
		Gateways: w.Gateways(), AnsweredAgo: w.AnsweredAgo(now), Covered: now - w.startedAt,
	}
	asked := map[string]bool{}
	for _, d := range demands {
		asked[d.Workspace] = true
		c.Charges = append(c.Charges, w.charge(d.Workspace, d.Costs, now))
	}
	for name, a := range w.accounts {
		if !asked[name] && (a.stated() || !w.told) {
			c.Charges = append(c.Charges, w.charge(name, nil, now))
		}
	}
	w.call = &callState{call: c, sentAt: now}
	return c
}

// stated reports whether the account has something to state.
func (a *account) stated() bool {
	return a.reserve > 0 || a.unused > 0 || a.spentAlone > 0 || len(a.returned) > 0 || a.reserveUntil > 0
}

func (w *Wallet) charge(workspace string, costs []float64, now time.Duration) Charge {
	a := w.account(workspace)
	w.expire(a, now)
	a.spentInCall = 0
	x := Charge{Workspace: workspace, Costs: costs, Held: a.reserve, Unused: a.unused, Returned: a.returned, SpentAlone: a.spentAlone}
	if !w.told {
		x.History = a.spent.list(now)
	}
	return x
}

// Finish uses the answer to the call. It returns false if the answer came too late or is that
// of another leader, and grants nothing.
func (w *Wallet) Finish(c *Call, answer *Answer, now time.Duration) bool {
	state := w.call
	if state == nil || state.call != c {
		return false
	}
	w.call = nil
	if now-state.sentAt > CallTimeout {
		return false
	}
	w.Answered(answer.Leadership, max(answer.Gateways, w.Gateways()), now)
	if answer.Leadership != c.Leadership {
		return false
	}
	w.answered, w.told = c.Sequence, true
	w.recordBooking(booking{c.Sequence, answer.Booked})
	w.clearStated(c)
	for i := range answer.Grants {
		g := &answer.Grants[i]
		a := w.account(g.Workspace)
		a.reserve = max(g.Reserve-a.spentInCall, 0)
		a.reserveUntil = state.sentAt + min(g.ReserveTTL, LeaseTTL)
		if g.Reserve == 0 {
			a.reserveUntil = 0
		}
	}
	return true
}

// clearStated removes what the leader knows now.
func (w *Wallet) clearStated(c *Call) {
	for i := range c.Charges {
		x := &c.Charges[i]
		a := w.account(x.Workspace)
		a.unused = max(a.unused-x.Unused, 0)
		a.spentAlone = max(a.spentAlone-x.SpentAlone, 0)
		a.returned = a.returned[min(len(x.Returned), len(a.returned)):]
		if len(a.returned) == 0 {
			a.returned = nil
		}
	}
}

func (w *Wallet) recordBooking(b booking) {
	if len(w.bookings) == maxBookings {
		w.bookings = append(w.bookings[:0], w.bookings[1:]...)
	}
	w.bookings = append(w.bookings, b)
}

// Granted returns the receipt of a request that the answer to the call grants.
func (w *Wallet) Granted(c *Call, workspace string, cost float64, now time.Duration) Receipt {
	w.account(workspace).spent.add(cost, now)
	return Receipt{Workspace: workspace, Amount: cost, Source: Granted, leadership: c.Leadership, sequence: c.Sequence, at: now}
}

// Fail ends a call without an answer.
func (w *Wallet) Fail(c *Call) {
	if w.call != nil && w.call.call == c {
		w.call = nil
	}
}
