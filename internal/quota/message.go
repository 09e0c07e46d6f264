package quota

import (
	"math"
	"time"

	"parsleyramp/internal/wire"
)

// neverMS stands for Never in messages.
const neverMS = math.MaxUint32

// Request returns the call as a message.
func (c *Call) Request() *wire.QuotaRequest {
	out := &wire.QuotaRequest{
		Gateway: c.Gateway, Incarnation: c.Incarnation, Leadership: c.Leadership, Sequence: c.Sequence, Answered: c.Answered,
		Gateways: uint32(c.Gateways), AnsweredAgoMs: Milliseconds(c.AnsweredAgo), CoveredMs: Milliseconds(c.Covered),
	}
	for i := range c.Charges {
		x := &c.Charges[i]
		m := &wire.QuotaCharge{Workspace: x.Workspace, Costs: x.Costs, Reserve: x.Held, Returned: x.Unused, SpentAlone: x.SpentAlone, History: x.History}
		for _, r := range x.Returned {
			m.Returns = append(m.Returns, &wire.QuotaReturn{Amount: r.Amount, BookedUs: uint64(r.Booked.Microseconds())})
		}
		out.Charges = append(out.Charges, m)
	}
	return out
}

// CallOf returns the call that the message states.
func CallOf(m *wire.QuotaRequest) *Call {
	c := &Call{
		Gateway: m.Gateway, Incarnation: m.Incarnation, Leadership: m.Leadership, Sequence: m.Sequence, Answered: m.Answered,
		Gateways: int(m.Gateways), AnsweredAgo: duration(m.AnsweredAgoMs), Covered: duration(m.CoveredMs), Charges: make([]Charge, 0, len(m.Charges)),
	}
	for _, x := range m.Charges {
		charge := Charge{
			Workspace: x.Workspace, Costs: amounts(x.Costs), Held: amount(x.Reserve), Unused: amount(x.Returned), SpentAlone: amount(x.SpentAlone),
			History: amounts(x.History),
		}
		for _, r := range x.Returns {
			charge.Returned = append(charge.Returned, Return{amount(r.Amount), time.Duration(r.BookedUs) * time.Microsecond})
		}
		c.Charges = append(c.Charges, charge)
	}
	return c
}

// Response returns the answer as a message.
func (a *Answer) Response() *wire.QuotaResponse {
	// Rounded up, so that a return of the booking is later than it.
	booked := (a.Booked + time.Microsecond - 1) / time.Microsecond
	out := &wire.QuotaResponse{Leadership: a.Leadership, BookedUs: uint64(booked), Gateways: uint32(a.Gateways)}
	for i := range a.Grants {
		g := &a.Grants[i]
		m := &wire.QuotaGrant{
			Workspace: g.Workspace, Reserve: g.Reserve, ReserveTtlMs: uint32(g.ReserveTTL.Milliseconds()), Learning: g.Learning, Level: g.Level,
			RetryAfterMs: make([]uint32, len(g.RetryAfter)),
		}
		for j, after := range g.RetryAfter {
			m.RetryAfterMs[j] = Milliseconds(after)
			if after == 0 {
				m.Granted++
			}
		}
		out.Grants = append(out.Grants, m)
	}
	return out
}

// AnswerOf returns the answer that the message states.
func AnswerOf(m *wire.QuotaResponse) *Answer {
	a := &Answer{Leadership: m.Leadership, Booked: time.Duration(m.BookedUs) * time.Microsecond, Gateways: int(m.Gateways)}
	for _, x := range m.Grants {
		g := Grant{Workspace: x.Workspace, Reserve: amount(x.Reserve), ReserveTTL: duration(x.ReserveTtlMs), Learning: x.Learning, Level: x.Level}
		for _, ms := range x.RetryAfterMs {
			after := duration(ms)
			if ms == neverMS {
				after = Never
			}
			g.RetryAfter = append(g.RetryAfter, after)
		}
		a.Grants = append(a.Grants, g)
	}
	return a
}

// maxAmount bounds the amounts in messages, so that sums of them are exact to a fraction of a
// token.
const maxAmount = 1e12

// amount returns an amount of a message, which is not negative and finite: one NaN in a sum
// would refuse each later request of the workspace, or grant it.
func amount(x float64) float64 {
	if !(x > 0) {
		return 0
	}
	return min(x, maxAmount)
}

// amounts applies amount to all of the list in place.
func amounts(list []float64) []float64 {
	for i, x := range list {
		list[i] = amount(x)
	}
	return list
}

// Milliseconds returns the time for a message, rounded up.
func Milliseconds(d time.Duration) uint32 {
	if d < 0 {
		return neverMS
	}
	return uint32(min((d+time.Millisecond-1)/time.Millisecond, neverMS-1))
}

func duration(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
