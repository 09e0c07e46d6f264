package fleetcontrol

import (
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"parsleyramp/internal/fleet"
)

const (
	// speedsLogInterval is the least time between two log lines on speeds, and maxSpeedsLogged
	// bounds the endpoints that one names.
	speedsLogInterval = 5 * time.Second
	maxSpeedsLogged   = 12
)

// speedLog is what was last logged of the speeds of endpoints.
type speedLog struct {
	at      time.Duration
	unequal map[string]bool
}

// logSpeeds logs which endpoints have begun or ceased to differ from their service in speed.
// percent is in the order of the published endpoints. l.mu must be held.
func (l *leaderState) logSpeeds(percent []uint32, now time.Duration) {
	if l.speeds.unequal != nil && now-l.speeds.at < speedsLogInterval {
		return
	}
	unequal := map[string]bool{}
	var changed []string
	for i, id := range l.published.endpointOrder {
		if differs := fleet.DiffersInSpeed(percent[i]); differs != l.speeds.unequal[id] {
			changed = append(changed, id+"="+strconv.Itoa(int(percent[i])))
		}
		if fleet.DiffersInSpeed(percent[i]) {
			unequal[id] = true
		}
	}
	l.speeds = speedLog{now, unequal}
	if len(changed) > 0 {
		l.s.log.WithFields(logrus.Fields{"term": l.term, "percent": changed[:min(len(changed), maxSpeedsLogged)], "changed": len(changed), "unequal": len(unequal)}).Info("speeds of endpoints changed")
	}
}

// speedOf returns how fast the engine serves requests, as a ratio of what is usual in its
// service; zero if that is not known, or if it does not differ enough to matter.
func (l *leaderState) speedOf(e *engineState, now time.Duration) float64 {
	percent := l.slowness.Percent(e.listed.Service, e.listed.ID, now)
	if !fleet.DiffersInSpeed(percent) {
		return 0
	}
	return 100 / float64(percent)
}
