package fleet

import "time"

const (
	// patientHeadroom is the largest share of an endpoint that patient requests leave free for
	// urgent ones. Urgent requests take slots within the 0.1 s for which counts are old, and a
	// patient response holds its slot for seconds: a quarter of the slots absorbs what arrives
	// meanwhile. The room costs patient requests a delay within their target but no throughput,
	// because it vanishes with their slack; so it is left whether or not urgent requests come.
	patientHeadroom = 0.25
	// headroomSlack is the slack from which a patient request leaves all of that room. A target
	// barely above maxFirstEventTarget so gives nearly the limit of an urgent request.
	headroomSlack = 2 * maxFirstEventTarget
	// patientWaitShare is the share of its time limit that a patient request waits at most: what
	// is left covers the response, or the wait before its client tries again.
	patientWaitShare = 0.75
	// excessHeadroom is the share of an endpoint that a workspace leaves free whose use is far
	// above its fair share. The part that applies is that of its use above the share.
	excessHeadroom = 0.3
)

// WaitingRequest is what decides how full an endpoint may be for a request, and how long the
// request waits. It responds to bursts of urgent requests, which find the room that patient
// ones leave, and to workspaces that exceed their fair share.
type WaitingRequest struct {
	// Waited is the time since the request first tried, and Limit the time that it had left then.
	Waited, Limit time.Duration
	// Target is the target latency of the route, zero if it has none, and TargetLeft what was
	// left of it when the request first tried.
	Target, TargetLeft time.Duration
	// FirstEvent is the expected time from the dispatch to the first event of the response.
	FirstEvent time.Duration
	// Priority orders requests; 0 is the highest.
	Priority int
	// Excess is the use of the workspace divided by its fair share; zero if it is not above it.
	Excess float64
}

// Patient reports whether the target leaves time to wait.
func (r WaitingRequest) Patient() bool {
	return LeavesTimeToWait(r.Target) && r.Limit > maxFirstEventTarget
}

// LeavesTimeToWait reports whether requests with the target are patient, if their deadlines
// are. It is not so without a target.
func LeavesTimeToWait(target time.Duration) bool { return target > maxFirstEventTarget }

// Slack returns how much longer the request can wait and still be on time, or until its wait
// ends if that is sooner; negative if it cannot be on time or has waited that long.
func (r WaitingRequest) Slack() time.Duration {
	return min(r.TargetLeft-r.FirstEvent, r.maxSlotWait()) - r.Waited
}

// UtilizationLimit returns the utilization of the least loaded endpoint up to which the request
// is sent there.
func (r WaitingRequest) UtilizationLimit() float64 {
	return r.LimitWithinShare() - r.excessRoom()
}

// LimitWithinShare returns the utilization limit without regard to the share of the workspace.
func (r WaitingRequest) LimitWithinShare() float64 {
	switch {
	case !r.Patient() && r.Waited == 0:
		return maxUtilization
	case !r.Patient():
		return maxUtilizationAfterWait
	}
	slack := r.Slack()
	if slack > 0 {
		return maxUtilizationAfterWait - r.headroom()*min(1, slack.Seconds()/headroomSlack.Seconds())
	}
	late, left := -slack, max(r.SlotWaitLeft(), 0)
	if late+left == 0 {
		return maxUtilizationAfterWait
	}
	return maxUtilizationAfterWait + (maxUtilization-maxUtilizationAfterWait)*late.Seconds()/(late+left).Seconds()
}

// headroom returns the room that the request leaves while it has slack: the more, the lower its
// priority.
func (r WaitingRequest) headroom() float64 {
	p := float64(max(r.Priority, 0))
	return patientHeadroom * (p + 1) / (p + 2)
}

// excessRoom returns the room that the request leaves for workspaces within their share.
func (r WaitingRequest) excessRoom() float64 {
	if r.Excess <= 1 {
		return 0
	}
	return excessHeadroom * (1 - 1/r.Excess)
}

// DecideOnSlot decides whether the request goes to the least loaded endpoint of its model,
// which has the utilization, waits for a slot or is rejected.
func (r WaitingRequest) DecideOnSlot(utilization float64) Decision {
	switch {
	case !r.Patient() && r.Excess <= 1:
		return DecideOnSlot(utilization, r.Waited, r.Limit)
	case utilization <= r.UtilizationLimit():
		return Dispatch
	case r.SlotWaitLeft() > 0:
		return Wait
	}
	return Reject
}

// SlotWaitLeft returns how much longer the request waits for a slot.
func (r WaitingRequest) SlotWaitLeft() time.Duration { return r.maxSlotWait() - r.Waited }

func (r WaitingRequest) maxSlotWait() time.Duration {
	if !r.Patient() {
		return maxWaitForSlot(r.Limit)
	}
	// If those that cannot be on time any more wait on, they take the slots in an overload from
	// those that still can be, and nearly all become late. They wait no less than urgent ones.
	return min(max(r.TargetLeft-r.FirstEvent, maxWaitForSlot(r.Limit)), r.longestWait())
}

// longestWait returns how long a patient request waits at most.
func (r WaitingRequest) longestWait() time.Duration {
	return time.Duration(float64(r.Limit) * patientWaitShare)
}

// DecideOnModel decides whether the request waits for a model that is not resident on any
// endpoint. readyIn is the time until the model is expected to be ready, zero if unknown. A
// patient request waits as long as its target allows.
func (r WaitingRequest) DecideOnModel(readyIn time.Duration) Decision {
	onTime := min(r.TargetLeft-r.FirstEvent, r.longestWait())
	if r.Patient() && r.Waited+readyIn < onTime {
		return Wait
	}
	return DecideOnModel(readyIn, r.Waited, r.Limit)
}
