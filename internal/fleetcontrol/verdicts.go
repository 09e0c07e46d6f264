package fleetcontrol

import (
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
	// agreeing is how many gateways, or domains, must say the same of an endpoint
	// before all act on it. One alone may have lost its own links.
	agreeing = 2
)

// verdicts pools what gateways say of endpoints, so that each learns of a
// failure before it meets it itself. An endpoint may fail for the callers of one
// failure domain only, so results are kept by the gateways' domains.
type verdicts struct {
	log     *logrus.Entry
	domains map[string]*fleet.Health
	// silent holds, by endpoint and gateway, when the gateway said so last, and
	// heard when any gateway has heard of the endpoint last.
	silent map[string]map[string]time.Duration
	heard  map[string]time.Duration
	// believed are the endpoints that were taken for dead when last looked at.
	believed map[string]bool
}

func newVerdicts(log *logrus.Entry) *verdicts {
	return &verdicts{
		log: log, domains: map[string]*fleet.Health{}, silent: map[string]map[string]time.Duration{},
		heard: map[string]time.Duration{}, believed: map[string]bool{},
	}
}

// take adds what a gateway of the domain says.
func (v *verdicts) take(gateway, domain string, said []*wire.InProgress, now time.Duration) {
	h := v.domains[domain]
	if h == nil {
		h = fleet.NewHealth(pooledFailureWeight)
		v.domains[domain] = h
	}
	for _, x := range said {
		before := h.Suspect(x.Endpoint, now)
		h.Note(x.Endpoint, fleet.Results{Served: int(x.Served), Failed: int(x.Failed)}, now)
		if after := h.Suspect(x.Endpoint, now); after != before {
			v.log.WithFields(logrus.Fields{"endpoint": x.Endpoint, "domain": domain, "failing": after, "failed": x.Failed}).Info("endpoint judged by results")
		}
		v.takeSilence(gateway, x, now)
	}
}

func (v *verdicts) takeSilence(gateway string, x *wire.InProgress, now time.Duration) {
	if x.Heard || x.Served > 0 {
		v.heard[x.Endpoint] = now
	}
	if !x.Silent {
		delete(v.silent[x.Endpoint], gateway)
		return
	}
	if v.silent[x.Endpoint] == nil {
		v.silent[x.Endpoint] = map[string]time.Duration{}
	}
	v.silent[x.Endpoint][gateway] = now
}

// dead reports whether the endpoint is taken for dead: it owes answers to
// several gateways and no gateway hears of it.
func (v *verdicts) dead(endpoint string, now time.Duration) bool {
	silent := 0
	for _, at := range v.silent[endpoint] {
		if now-at < silenceTrust {
			silent++
		}
	}
	heard, ever := v.heard[endpoint]
	dead := silent >= agreeing && (!ever || now-heard > silenceTrust)
	if dead != v.believed[endpoint] {
		v.believed[endpoint] = dead
		v.log.WithFields(logrus.Fields{"endpoint": endpoint, "dead": dead, "silent_to": silent, "heard_ms_ago": (now - heard).Milliseconds()}).Info("endpoint judged by its silence")
	}
	return dead
}

// failing reports whether gateways of the domain are to avoid the endpoint for
// its results.
func (v *verdicts) failing(endpoint, domain string, now time.Duration) bool {
	if h := v.domains[domain]; h != nil && h.Suspect(endpoint, now) {
		return true
	}
	suspecting := 0
	for _, h := range v.domains {
		if h.Suspect(endpoint, now) {
			suspecting++
		}
	}
	return suspecting >= agreeing
}

// keep forgets all endpoints but those named.
func (v *verdicts) keep(named func(endpoint string) bool) {
	for _, h := range v.domains {
		h.Keep(named)
	}
	forget(v.silent, named)
	forget(v.heard, named)
	forget(v.believed, named)
}

func forget[V any](m map[string]V, named func(endpoint string) bool) {
	for id := range m {
		if !named(id) {
			delete(m, id)
		}
	}
}
