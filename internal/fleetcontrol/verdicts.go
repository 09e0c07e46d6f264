package fleetcontrol

import (
	"time"

	"parsleyramp/internal/fleet"
	"parsleyramp/internal/wire"
)

const (
	// pooledFailureWeight is the share of the newest result in a failure rate
	// that all gateways of a domain add to. It is lower than a gateway's own, for
	// more results come in.
	pooledFailureWeight = 0.08
	// silenceTrust is how long a gateway's word that an endpoint is silent counts.
	silenceTrust = time.Second
	// agreeing is how many gateways, or domains, must suspect an endpoint before
	// those of other domains avoid it too. One alone may have lost its own links.
	agreeing = 2
)

// verdicts pools what gateways say of endpoints, so that each learns of a
// failure before it meets it itself. An endpoint may fail for the callers of one
// failure domain only, so results are kept by the gateways' domains.
type verdicts struct {
	domains map[string]*fleet.Health
	// silent holds, by endpoint and gateway, when the gateway said so last.
	silent map[string]map[string]time.Duration
}

func newVerdicts() *verdicts {
	return &verdicts{domains: map[string]*fleet.Health{}, silent: map[string]map[string]time.Duration{}}
}

// take adds what a gateway of the domain says.
func (v *verdicts) take(gateway, domain string, said []*wire.InProgress, now time.Duration) {
	h := v.domains[domain]
	if h == nil {
		h = fleet.NewHealth(pooledFailureWeight)
		v.domains[domain] = h
	}
	for _, x := range said {
		h.Note(x.Endpoint, fleet.Results{Served: int(x.Served), Failed: int(x.Failed)}, now)
		if !x.Silent {
			delete(v.silent[x.Endpoint], gateway)
			continue
		}
		if v.silent[x.Endpoint] == nil {
			v.silent[x.Endpoint] = map[string]time.Duration{}
		}
		v.silent[x.Endpoint][gateway] = now
	}
}

// avoid reports whether gateways of the domain are to avoid the endpoint.
func (v *verdicts) avoid(endpoint, domain string, now time.Duration) bool {
	if h := v.domains[domain]; h != nil && h.Suspect(endpoint, now) {
		return true
	}
	silent := 0
	for _, at := range v.silent[endpoint] {
		if now-at < silenceTrust {
			silent++
		}
	}
	suspecting := 0
	for _, h := range v.domains {
		if h.Suspect(endpoint, now) {
			suspecting++
		}
	}
	return silent >= agreeing || suspecting >= agreeing
}

// keep forgets all endpoints but those named.
func (v *verdicts) keep(named func(endpoint string) bool) {
	for _, h := range v.domains {
		h.Keep(named)
	}
	for id := range v.silent {
		if !named(id) {
			delete(v.silent, id)
		}
	}
}
