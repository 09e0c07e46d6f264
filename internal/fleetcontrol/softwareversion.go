package fleetcontrol

import (
	"slices"
	"time"
)

// versionState is what the leader knows of the software of an endpoint's process.
type versionState struct {
	// known is empty if the version is not known surely.
	known string
	// unsureUntil is until when entries of the list that do not name the start of the
	// process may be of the process before.
	unsureUntil time.Duration
}

// observe applies an entry of the list that is not of an earlier process.
func (v *versionState) observe(x ListedEndpoint, now time.Duration) {
	if x.StartedUnixMs == 0 && now < v.unsureUntil {
		return
	}
	v.known = x.Version
}

// restart forgets the version: a new process may run other software.
func (v *versionState) restart(now time.Duration) {
	v.known, v.unsureUntil = "", now+listLag
}

// runs reports whether the engine surely runs the version; an empty one stands for any.
func (e *engineState) runs(version string) bool {
	return version == "" || e.version.known == version
}

// modelVersion names a model that is requested on engines of a version.
type modelVersion struct{ model, version string }

// requestModel records that clients wait for the model, on an engine of the version if that
// is not empty. l.mu must be held.
func (l *leaderState) requestModel(model, version string) {
	until := l.s.clock() + modelRequestTTL
	if version == "" {
		l.requestedUntil[model] = until
	} else {
		l.requestedVersions[modelVersion{model, version}] = until
	}
}

// versionsRequested returns the versions on which clients wait for the model. l.mu must be
// held.
func (l *leaderState) versionsRequested(model string, now time.Duration) []string {
	var out []string
	for k, until := range l.requestedVersions {
		switch {
		case until <= now:
			delete(l.requestedVersions, k)
		case k.model == model:
			out = append(out, k.version)
		}
	}
	slices.Sort(out)
	return out
}
