package fleetcontrol

import "time"

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
