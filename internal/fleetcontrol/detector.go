package fleetcontrol

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"parsleyramp/internal/fleet"
	"parsleyramp/internal/wire"
)

const (
	// pooledFailureWeight is the share of the newest result in a failure rate
	// that all gateways of a domain add to. It is lower than a gateway's own, for
	// more results come in.
	pooledFailureWeight = 0.08
	// silenceTrust is how long a gateway's word that an endpoint is silent
	// counts, and how long nobody must have heard of it.
	silenceTrust = 600 * time.Millisecond
	// slowRatio is how much longer than at all endpoints together requests take at
	// one that is slow, and slowKnown the least work, at usual speed, that tells.
	slowRatio = 2.2
	slowKnown = time.Second
	// speedTime smooths speeds. An endpoint that gets no requests is tried again
	// once the work that told has faded.
	speedTime = 2500 * time.Millisecond
	// agreeing is how many gateways, or domains, must say the same of an endpoint
	// before all act on it. One alone may have lost its own links.
	agreeing = 2
)

// detector pools what gateways say of endpoints, so that each learns of a
// failure before it meets it itself. An endpoint may fail for the callers of one
// failure domain only, so results are kept by the gateways' domains.
type detector struct {
	log     *logrus.Entry
	domains map[string]*fleet.Health
	// silent holds, by endpoint and gateway, when the gateway said so last, and
	// heard when any gateway has heard of the endpoint last.
	silent map[string]map[string]time.Duration
	heard  map[string]time.Duration
	// speeds are those of endpoints, and all their sum.
	speeds map[string]*speed
	all    speed
	slow   map[string]bool
	// believed are the endpoints that were taken for dead when last looked at.
	believed map[string]bool
}

func newDetector(log *logrus.Entry) *detector {
	return &detector{
		log: log, domains: map[string]*fleet.Health{}, silent: map[string]map[string]time.Duration{},
		heard: map[string]time.Duration{}, believed: map[string]bool{}, speeds: map[string]*speed{}, slow: map[string]bool{},
	}
}

// take adds what a gateway of the domain says.
func (d *detector) take(gateway, domain string, said []*wire.InProgress, now time.Duration) {
	h := d.domains[domain]
	if h == nil {
		h = fleet.NewHealth(pooledFailureWeight)
		d.domains[domain] = h
	}
	for _, x := range said {
		before := h.Suspect(x.Endpoint, now)
		h.Note(x.Endpoint, fleet.Results{Served: int(x.Served), Failed: int(x.Failed)}, now)
		if after := h.Suspect(x.Endpoint, now); after != before {
			d.log.WithFields(logrus.Fields{"endpoint": x.Endpoint, "domain": domain, "failing": after, "failed": x.Failed}).Info("endpoint judged by results")
		}
		d.takeSilence(gateway, x, now)
		d.takeSpeed(x, now)
	}
}

// speed sums how long requests took and would have taken, newer ones weighing
// more.
type speed struct {
	took, expected float64
	at             time.Duration
}

func (s *speed) add(took, expected float64, now time.Duration) {
	keep := math.Exp(-(now - s.at).Seconds() / speedTime.Seconds())
	s.took, s.expected, s.at = s.took*keep+took, s.expected*keep+expected, now
}

func (d *detector) takeSpeed(x *wire.InProgress, now time.Duration) {
	if x.ExpectedMs == 0 {
		return
	}
	s := d.speeds[x.Endpoint]
	if s == nil {
		s = &speed{at: now}
		d.speeds[x.Endpoint] = s
	}
	took, expected := float64(x.TookMs)/1000, float64(x.ExpectedMs)/1000
	s.add(took, expected, now)
	d.all.add(took, expected, now)
}

// isSlow reports whether requests take much longer at the endpoint than at all
// together.
func (d *detector) isSlow(endpoint string, now time.Duration) bool {
	s := d.speeds[endpoint]
	slow := false
	if s != nil {
		s.add(0, 0, now)
		d.all.add(0, 0, now)
		slow = s.expected > slowKnown.Seconds() && s.took*d.all.expected > slowRatio*d.all.took*s.expected
	}
	if slow != d.slow[endpoint] {
		d.slow[endpoint] = slow
		d.log.WithFields(logrus.Fields{"endpoint": endpoint, "slow": slow, "took_s": s.took, "expected_s": s.expected, "all_took_s": d.all.took, "all_expected_s": d.all.expected}).Info("endpoint judged by its speed")
	}
	return slow
}

func (d *detector) takeSilence(gateway string, x *wire.InProgress, now time.Duration) {
	if x.Heard || x.Served > 0 {
		d.heard[x.Endpoint] = now
	}
	if !x.Silent {
		delete(d.silent[x.Endpoint], gateway)
		return
	}
	if d.silent[x.Endpoint] == nil {
		d.silent[x.Endpoint] = map[string]time.Duration{}
	}
	d.silent[x.Endpoint][gateway] = now
}

// dead reports whether the endpoint is taken for dead: it owes answers to
// several gateways and no gateway hears of it.
func (d *detector) dead(endpoint string, now time.Duration) bool {
	silent := 0
	for _, at := range d.silent[endpoint] {
		if now-at < silenceTrust {
			silent++
		}
	}
	heard, ever := d.heard[endpoint]
	dead := silent >= agreeing && (!ever || now-heard > silenceTrust)
	if dead != d.believed[endpoint] {
		d.believed[endpoint] = dead
		d.log.WithFields(logrus.Fields{"endpoint": endpoint, "dead": dead, "silent_to": silent, "heard_ms_ago": (now - heard).Milliseconds()}).Info("endpoint judged by its silence")
	}
	return dead
}

// failing reports whether gateways of the domain are to avoid the endpoint for
// its results or its speed.
func (d *detector) failing(endpoint, domain string, now time.Duration) bool {
	if d.isSlow(endpoint, now) {
		return true
	}
	if h := d.domains[domain]; h != nil && h.Suspect(endpoint, now) {
		return true
	}
	suspecting := 0
	for _, h := range d.domains {
		if h.Suspect(endpoint, now) {
			suspecting++
		}
	}
	return suspecting >= agreeing
}

// keep forgets all endpoints but those named.
func (d *detector) keep(named func(endpoint string) bool) {
	for _, h := range d.domains {
		h.Keep(named)
	}
	forget(d.silent, named)
	forget(d.heard, named)
	forget(d.believed, named)
	forget(d.speeds, named)
	forget(d.slow, named)
}

func forget[V any](m map[string]V, named func(endpoint string) bool) {
	for id := range m {
		if !named(id) {
			delete(m, id)
		}
	}
}
