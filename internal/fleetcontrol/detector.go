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
	unresponsiveReportTTL = 600 * time.Millisecond
	// slowRatio is how much longer than at all endpoints together requests take at
	// one that is slow, and slowKnown the least work, at usual speed, that tells.
	slowLatencyRatio = 2.2
	minSlowSample    = time.Second
	// speedTime smooths speeds. An endpoint that gets no requests is tried again
	// once the work that told has faded.
	latencyDecayTime = 2500 * time.Millisecond
	// agreeing is how many gateways, or domains, must say the same of an endpoint
	// before all act on it. One alone may have lost its own links.
	minAgreeing = 2
)

// detector pools what gateways say of endpoints, so that each learns of a
// failure before it meets it itself. An endpoint may fail for the callers of one
// failure domain only, so results are kept by the gateways' domains.
type failureDetector struct {
	log     *logrus.Entry
	domains map[string]*fleet.Health
	// silent holds, by endpoint and gateway, when the gateway said so last, and
	// heard when any gateway has heard of the endpoint last.
	unresponsive map[string]map[string]time.Duration
	lastReceived map[string]time.Duration
	// speeds are those of endpoints, and all their sum.
	latencies    map[string]*decayedLatency
	fleetLatency decayedLatency
	slow         map[string]bool
	// believed are the endpoints that were taken for dead when last looked at.
	consideredDead map[string]bool
}

func newFailureDetector(log *logrus.Entry) *failureDetector {
	return &failureDetector{
		log: log, domains: map[string]*fleet.Health{}, unresponsive: map[string]map[string]time.Duration{},
		lastReceived: map[string]time.Duration{}, consideredDead: map[string]bool{}, latencies: map[string]*decayedLatency{}, slow: map[string]bool{},
	}
}

// take adds what a gateway of the domain says.
func (d *failureDetector) ingest(gateway, domain string, loads []*wire.InProgress, now time.Duration) {
	h := d.domains[domain]
	if h == nil {
		h = fleet.NewHealth(pooledFailureWeight)
		d.domains[domain] = h
	}
	for _, x := range loads {
		before := h.Suspect(x.Endpoint, now)
		h.Note(x.Endpoint, fleet.Results{Served: int(x.Served), Failed: int(x.Failed)}, now)
		if after := h.Suspect(x.Endpoint, now); after != before {
			d.log.WithFields(logrus.Fields{"endpoint": x.Endpoint, "domain": domain, "failing": after, "failed": x.Failed}).Info("endpoint judged by results")
		}
		d.ingestUnresponsive(gateway, x, now)
		d.ingestLatency(x, now)
	}
}

// speed sums how long requests took and would have taken, newer ones weighing
// more.
type decayedLatency struct {
	actual, expected float64
	at               time.Duration
}

func (s *decayedLatency) add(actual, expected float64, now time.Duration) {
	weight := math.Exp(-(now - s.at).Seconds() / latencyDecayTime.Seconds())
	s.actual, s.expected, s.at = s.actual*weight+actual, s.expected*weight+expected, now
}

func (d *failureDetector) ingestLatency(x *wire.InProgress, now time.Duration) {
	if x.ExpectedMs == 0 {
		return
	}
	s := d.latencies[x.Endpoint]
	if s == nil {
		s = &decayedLatency{at: now}
		d.latencies[x.Endpoint] = s
	}
	actual, expected := float64(x.TookMs)/1000, float64(x.ExpectedMs)/1000
	s.add(actual, expected, now)
	d.fleetLatency.add(actual, expected, now)
}

// isSlow reports whether requests take much longer at the endpoint than at all
// together.
func (d *failureDetector) isSlow(endpoint string, now time.Duration) bool {
	s := d.latencies[endpoint]
	slow := false
	if s != nil {
		s.add(0, 0, now)
		d.fleetLatency.add(0, 0, now)
		slow = s.expected > minSlowSample.Seconds() && s.actual*d.fleetLatency.expected > slowLatencyRatio*d.fleetLatency.actual*s.expected
	}
	if slow != d.slow[endpoint] {
		d.slow[endpoint] = slow
		d.log.WithFields(logrus.Fields{"endpoint": endpoint, "slow": slow, "took_s": s.actual, "expected_s": s.expected, "all_took_s": d.fleetLatency.actual, "all_expected_s": d.fleetLatency.expected}).Info("endpoint judged by its speed")
	}
	return slow
}

func (d *failureDetector) ingestUnresponsive(gateway string, x *wire.InProgress, now time.Duration) {
	if x.Heard || x.Served > 0 {
		d.lastReceived[x.Endpoint] = now
	}
	if !x.Silent {
		delete(d.unresponsive[x.Endpoint], gateway)
		return
	}
	if d.unresponsive[x.Endpoint] == nil {
		d.unresponsive[x.Endpoint] = map[string]time.Duration{}
	}
	d.unresponsive[x.Endpoint][gateway] = now
}

// dead reports whether the endpoint is taken for dead: it owes answers to
// several gateways and no gateway hears of it.
func (d *failureDetector) dead(endpoint string, now time.Duration) bool {
	reporters := 0
	for _, at := range d.unresponsive[endpoint] {
		if now-at < unresponsiveReportTTL {
			reporters++
		}
	}
	received, ever := d.lastReceived[endpoint]
	dead := reporters >= minAgreeing && (!ever || now-received > unresponsiveReportTTL)
	if dead != d.consideredDead[endpoint] {
		d.consideredDead[endpoint] = dead
		d.log.WithFields(logrus.Fields{"endpoint": endpoint, "dead": dead, "silent_to": reporters, "heard_ms_ago": (now - received).Milliseconds()}).Info("endpoint judged by its silence")
	}
	return dead
}

// failing reports whether gateways of the domain are to avoid the endpoint for
// its results or its speed.
func (d *failureDetector) failing(endpoint, domain string, now time.Duration) bool {
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
	return suspecting >= minAgreeing
}

// keep forgets all endpoints but those named.
func (d *failureDetector) retain(listed func(endpoint string) bool) {
	for _, h := range d.domains {
		h.Keep(listed)
	}
	retainKeys(d.unresponsive, listed)
	retainKeys(d.lastReceived, listed)
	retainKeys(d.consideredDead, listed)
	retainKeys(d.latencies, listed)
	retainKeys(d.slow, listed)
}

func retainKeys[V any](m map[string]V, listed func(endpoint string) bool) {
	for id := range m {
		if !listed(id) {
			delete(m, id)
		}
	}
}
