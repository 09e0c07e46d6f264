package quota

import "time"

// Wallet is what one gateway may spend: its reserves, and its part of the rate while it
// reaches no leader. It is not safe for concurrent use.
type Wallet struct {
	gateway, incarnation string
	startedAt            time.Duration
	leadership           uint64
	// told is set once the leader knows what this gateway has spent.
	told               bool
	sequence, answered uint64
	// answeredAt is when the leader answered last: a call or an exchange.
	answeredAt time.Duration
	accounts   map[string]*account
	numbers    []number
	bookings   []booking
	call       *callState
}

// number is a number of gateways and when it was last known.
type number struct {
	gateways int
	at       time.Duration
}

// booking is the time on the leader's clock at which a call was booked.
type booking struct {
	sequence uint64
	at       time.Duration
}

// maxBookings bounds the calls of which charges can be returned: at a call in 20 ms, those of
// 5 s.
const maxBookings = 256

// account is the part of a wallet for one workspace.
type account struct {
	reserve      float64
	reserveUntil time.Duration
	// spentInCall is what was spent of the reserve since the call in flight was sent.
	spentInCall float64
	unused      float64
	returned    []Return
	spentAlone  float64
	// alone is the bucket of the part of the rate, as of aloneAt.
	alone   float64
	aloneAt time.Duration
	spent   record
}

// callState is the call in flight.
type callState struct {
	call   *Call
	sentAt time.Duration
}

// Receipt states where the tokens of a request came from, so that they can be returned.
type Receipt struct {
	Workspace string
	Amount    float64
	// Source is empty if nothing was charged.
	Source     Source
	leadership uint64
	sequence   uint64
	at         time.Duration
}

// Source is where tokens come from.
type Source string

// Sources.
const (
	Granted Source = "granted"
	Reserve Source = "reserve"
	Alone   Source = "alone"
)

// NewWallet returns the empty wallet of a process that starts now.
func NewWallet(gateway, incarnation string, now time.Duration) *Wallet {
	return &Wallet{gateway: gateway, incarnation: incarnation, startedAt: now, answeredAt: now, accounts: map[string]*account{}}
}

// Answered records that a leader has answered an exchange now, and how many gateways are known
// by it.
func (w *Wallet) Answered(leadership uint64, gateways int, now time.Duration) {
	w.answeredAt = now
	w.recordNumber(gateways, now)
	w.follow(leadership)
}

// follow makes the leadership the one that the wallet reports to. Reserves of another are void:
// the new leader does not know of them.
func (w *Wallet) follow(leadership uint64) {
	if leadership == w.leadership {
		return
	}
	w.leadership, w.told, w.call = leadership, false, nil
	w.bookings = w.bookings[:0]
	for _, a := range w.accounts {
		a.reserve, a.unused, a.returned, a.spentInCall = 0, 0, nil, 0
	}
}

func (w *Wallet) recordNumber(gateways int, now time.Duration) {
	kept := w.numbers[:0]
	for _, x := range w.numbers {
		if now-x.at <= Window && x.gateways != gateways {
			kept = append(kept, x)
		}
	}
	w.numbers = append(kept, number{gateways, now})
}

// Gateways returns the largest number of gateways known within a window before the last
// answer, or zero if none is known.
func (w *Wallet) Gateways() int {
	most := 0
	for _, x := range w.numbers {
		if w.answeredAt-x.at <= Window {
			most = max(most, x.gateways)
		}
	}
	return most
}

// AnsweredAgo returns how long ago a leader answered.
func (w *Wallet) AnsweredAgo(now time.Duration) time.Duration { return now - w.answeredAt }

// IsAlone reports whether this gateway spends its part of the rate now.
func (w *Wallet) IsAlone(now time.Duration) bool {
	ago := w.AnsweredAgo(now)
	return ago > AloneAfter && ago <= SilentTTL && w.Gateways() > 0
}

func (w *Wallet) account(workspace string) *account {
	a := w.accounts[workspace]
	if a == nil {
		a = &account{}
		w.accounts[workspace] = a
	}
	return a
}

// TakeReserve charges the cost to the reserve, if that suffices.
func (w *Wallet) TakeReserve(workspace string, cost float64, now time.Duration) (Receipt, bool) {
	a := w.account(workspace)
	w.expire(a, now)
	if a.reserve < cost || cost <= 0 {
		return Receipt{}, false
	}
	a.reserve -= cost
	if w.call != nil {
		a.spentInCall += cost
	}
	a.spent.add(cost, now)
	return Receipt{Workspace: workspace, Amount: cost, Source: Reserve, leadership: w.leadership, sequence: w.sequence + 1, at: now}, true
}

// expire makes a reserve whose time is over one to give back.
func (w *Wallet) expire(a *account, now time.Duration) {
	if a.reserve > 0 && now > a.reserveUntil {
		a.unused += a.reserve
		a.reserve = 0
	}
}

// TakeAlone charges the cost to this gateway's part of the rate, if it is alone and that
// suffices.
func (w *Wallet) TakeAlone(workspace string, limit Limit, cost float64, now time.Duration) (Receipt, bool) {
	if !w.IsAlone(now) {
		return Receipt{}, false
	}
	a := w.account(workspace)
	part := 1 / float64(w.Gateways())
	began := w.answeredAt + AloneAfter
	if a.aloneAt < began {
		a.alone, a.aloneAt = 0, began
	}
	a.alone = min(a.alone+limit.Rate*part*(now-a.aloneAt).Seconds(), limit.Burst*part)
	a.aloneAt = now
	if a.alone < cost {
		return Receipt{}, false
	}
	a.alone -= cost
	a.spentAlone += cost
	a.spent.add(cost, now)
	return Receipt{Workspace: workspace, Amount: cost, Source: Alone, at: now}, true
}

// Return takes back a charge whose request no endpoint has run.
func (w *Wallet) Return(r Receipt, now time.Duration) {
	if r.Source == "" || r.Amount <= 0 {
		return
	}
	a := w.account(r.Workspace)
	a.spent.add(-r.Amount, r.at)
	if r.Source == Alone || r.leadership != w.leadership {
		// It is not told as spent; the leader that booked it is no longer there.
		return
	}
	w.expire(a, now)
	if r.Source == Reserve && r.sequence == w.sequence+1 && a.reserve > 0 {
		// No call has stated it as spent.
		a.reserve += r.Amount
		if w.call != nil {
			a.spentInCall -= r.Amount
		}
		return
	}
	if at, ok := w.bookedAt(r.sequence); ok {
		a.returned = append(a.returned, Return{r.Amount, at})
	}
}

// bookedAt returns when the leader booked the call, or the last one before it that was
// answered.
func (w *Wallet) bookedAt(sequence uint64) (time.Duration, bool) {
	for i := len(w.bookings) - 1; i >= 0; i-- {
		if w.bookings[i].sequence <= sequence {
			return w.bookings[i].at, true
		}
	}
	return 0, false
}

// Held returns the reserve of the workspace.
func (w *Wallet) Held(workspace string, now time.Duration) float64 {
	a := w.accounts[workspace]
	if a == nil {
		return 0
	}
	w.expire(a, now)
	return a.reserve
}

// Retain drops the accounts of workspaces that have no quota any more.
func (w *Wallet) Retain(limited func(workspace string) bool) {
	for name := range w.accounts {
		if !limited(name) {
			delete(w.accounts, name)
		}
	}
}

// NeedsCall reports whether there is something to tell the leader besides requests.
func (w *Wallet) NeedsCall(now time.Duration) bool {
	if w.leadership == 0 {
		return false
	}
	if !w.told {
		return true
	}
	for _, a := range w.accounts {
		w.expire(a, now)
		if a.unused > 0 || a.spentAlone > 0 || len(a.returned) > 0 {
			return true
		}
	}
	return false
}
