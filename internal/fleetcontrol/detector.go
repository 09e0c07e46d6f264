package fleetcontrol

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"parsleyramp/internal/fleet"
	"parsleyramp/internal/wire"
)

const (
	// pooledFailureWeight is the weight of the newest result in the failure rate
	// of a failure domain. It is lower than that in a gateway's own failure rate,
	// because all gateways of the domain contribute results.
	pooledFailureWeight = 0.08
	// unresponsiveReportTTL is how long a gateway's report that an endpoint is
	// unresponsive counts, and how long no gateway may have received a byte from
	// an endpoint that is considered dead.
	unresponsiveReportTTL = 600 * time.Millisecond
	// slowLatencyRatio is the relative latency, compared with that of all
	// endpoints together, above which an endpoint is slow. minSlowSample is the
	// expected service time of recent requests that an endpoint must have before
	// it can count as slow.
	slowLatencyRatio = 2.2
	minSlowSample    = time.Second
	// latencyDecayTime is the time constant of the latency averages. An endpoint
	// that gets no requests is used again once its sample has decayed below
	// minSlowSample.
	latencyDecayTime = 2500 * time.Millisecond
	// minAgreeing is how many gateways, or failure domains, must report the same
	// condition of an endpoint before all gateways act on it. A single one may
	// have lost its own network links.
	minAgreeing = 2
)

// failureDetector aggregates the reports of gateways about endpoints, so that a
// gateway learns of a failure before its own requests fail. An endpoint may fail
// for one failure domain only, so results are kept per domain of the gateways.
type failureDetector struct {
	log     *logrus.Entry
	domains map[string]*fleet.Health
	// unresponsive holds, by endpoint and gateway, the time of the gateway's last
	// report that the endpoint is unresponsive. lastReceived holds the time of the
	// last report of any gateway that it received bytes from the endpoint.
	unresponsive map[string]map[string]time.Duration
	lastReceived map[string]time.Duration
	// latencies are those of single endpoints, fleetLatency is their sum.
	latencies    map[string]*decayedLatency
	fleetLatency decayedLatency
	slow         map[string]bool
	// consideredDead is the result of the last check by endpoint, for logging
	// transitions.
	consideredDead map[string]bool
}

func newFailureDetector(log *logrus.Entry) *failureDetector {
	return &failureDetector{
		log: log, domains: map[string]*fleet.Health{}, unresponsive: map[string]map[string]time.Duration{},
		lastReceived: map[string]time.Duration{}, consideredDead: map[string]bool{}, latencies: map[string]*decayedLatency{}, slow: map[string]bool{},
	}
}

// ingest adds the report of a gateway in the domain.
func (d *failureDetector) ingest(gateway, domain string, loads []*wire.InProgress, now time.Duration) {
	h := d.domains[domain]
	if h == nil {
		h = fleet.NewHealth(pooledFailureWeight)
		d.domains[domain] = h
	}
	linksLost := lostLinks(loads)
	for _, x := range loads {
		before := h.Suspect(x.Endpoint, now)
		h.Record(x.Endpoint, fleet.Results{Served: int(x.Served), Failed: int(x.Failed)}, now)
		if after := h.Suspect(x.Endpoint, now); after != before {
			d.log.WithFields(logrus.Fields{"endpoint": x.Endpoint, "domain": domain, "failing": after, "failed": x.Failed}).Info("endpoint failure status changed")
		}
		d.ingestUnresponsive(gateway, x, x.Silent && !linksLost, now)
		d.ingestLatency(x, now)
	}
}

// decayedLatency sums the actual and expected service time of requests, in
// seconds, with weights that decay exponentially by age.
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

// isSlow reports whether the latency of the endpoint, relative to the expected
// service time, is much higher than that of all endpoints together.
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
		d.log.WithFields(logrus.Fields{"endpoint": endpoint, "slow": slow, "took_s": s.actual, "expected_s": s.expected, "all_took_s": d.fleetLatency.actual, "all_expected_s": d.fleetLatency.expected}).Info("endpoint slow status changed")
	}
	return slow
}

// lostLinks reports whether a gateway hears nothing of several endpoints and something of
// none: its own links are the likelier cause, and those of others may be lost with them.
func lostLinks(loads []*wire.InProgress) bool {
	silent := 0
	for _, x := range loads {
		switch {
		case x.Silent:
			silent++
		case x.Heard || x.Served > 0:
			return false
		}
	}
	return silent >= minAgreeing
}

func (d *failureDetector) ingestUnresponsive(gateway string, x *wire.InProgress, unresponsive bool, now time.Duration) {
	if x.Heard || x.Served > 0 {
		d.lastReceived[x.Endpoint] = now
	}
	if !unresponsive {
		delete(d.unresponsive[x.Endpoint], gateway)
		return
	}
	if d.unresponsive[x.Endpoint] == nil {
		d.unresponsive[x.Endpoint] = map[string]time.Duration{}
	}
	d.unresponsive[x.Endpoint][gateway] = now
}

// dead reports whether the endpoint is considered dead: several gateways report
// it as unresponsive and no gateway has received a byte from it recently.
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
		d.log.WithFields(logrus.Fields{"endpoint": endpoint, "dead": dead, "silent_to": reporters, "heard_ms_ago": (now - received).Milliseconds()}).Info("endpoint dead status changed")
	}
	return dead
}

// failing reports whether gateways of the domain should avoid the endpoint
// because of its failure rate or its latency.
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

// retain drops the state of all endpoints that are not listed.
func (d *failureDetector) retain(listed func(endpoint string) bool) {
	for _, h := range d.domains {
		h.Retain(listed)
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
