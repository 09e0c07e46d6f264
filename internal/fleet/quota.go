package fleet

import "math"

const (
	// contendedUse is the use of all endpoints of a model together from which
	// gateways take turns at the places that are left.
	contendedUse = 0.6
	// oversold is how many more places are given out than there are, for not
	// every gateway has a request for the model.
	oversold = 1.5
	// roundShare of an endpoint's places are given out at most between two counts,
	// for it reads the prompts one after the other.
	roundShare = 0.5
)

// quota bounds what this gateway sends to an endpoint until it is told again
// what the others have in progress. It answers the load of a model whose
// requests wait at every gateway when one more endpoint becomes ready for it:
// without it, all of them go there at once by counts that still say empty.
type quota struct {
	// allowed holds, by endpoint, what may be sent in this round.
	allowed map[string]int
	sent    map[string]int
}

func newQuota() quota { return quota{allowed: map[string]int{}, sent: map[string]int{}} }

// next begins a round.
func (q *quota) next() {
	clear(q.allowed)
	clear(q.sent)
}

// left reports whether one more request may be sent to the endpoint in this
// round. The first question of a round settles how many may: this gateway's part
// of the room, a fraction being settled by chance.
func (q *quota) left(endpoint string, slots, running, gateways int, draw func(n int) int) bool {
	allowed, settled := q.allowed[endpoint]
	if !settled {
		room := min(float64(max(slots-running, 0)), math.Ceil(roundShare*float64(slots)))
		allowed = randomRound(oversold*room/float64(max(gateways, 1)), draw)
		q.allowed[endpoint] = allowed
	}
	return q.sent[endpoint] < allowed
}

// randomRound returns x rounded up with the probability of its fraction.
func randomRound(x float64, draw func(n int) int) int {
	const grains = 1 << 16
	whole := math.Floor(x)
	if float64(draw(grains)) < (x-whole)*grains {
		whole++
	}
	return int(whole)
}
