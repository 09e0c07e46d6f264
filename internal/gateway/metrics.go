package gateway

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"parsleyramp/internal/answer"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/fleet"
)

// requestCounter counts requests that have ended, except for rejected ones, by
// route kind and outcome.
type requestCounter struct{}

var (
	requestsDone   requestCounter
	requestSeconds = metrics.GetOrCreateHistogram("parsleyramp_gateway_request_seconds")
	retriesDenied  = metrics.GetOrCreateCounter("parsleyramp_gateway_repeats_denied_total")
	rejections     rejectionCounter
	// misdirectedSends counts the sends that another endpoint answered, at the address of
	// the one that was meant.
	// permitsDenied counts the sends to endpoints with a limit that were not permitted.
	permitsDenied    = metrics.GetOrCreateCounter("parsleyramp_gateway_permits_denied_total")
	misdirectedSends = metrics.GetOrCreateCounter("parsleyramp_gateway_misdirected_sends_total")
	// restsNamed counts the rejections that name a time in which the endpoint wants no request.
	restsNamed = metrics.GetOrCreateCounter("parsleyramp_gateway_endpoint_rests_total")

	// firstByteSeconds is the time from the arrival of a request to the first byte
	// of a stream, longestPauseSeconds the longest pause within a stream, and
	// selectionSeconds the time to find an endpoint for a request.
	firstByteSeconds    = metrics.GetOrCreateHistogram("parsleyramp_gateway_first_byte_seconds")
	longestPauseSeconds = metrics.GetOrCreateHistogram("parsleyramp_gateway_longest_pause_seconds")
	selectionSeconds    = metrics.GetOrCreateHistogram("parsleyramp_gateway_place_seconds")
	sendsDone           sendCounter
	reservations        reservationCounter
	brokenRequests      brokenCounter
	streamsEnded        streamCounter
	resumptions         resumptionCounter
	takeUps             takeUpCounter
	originsTold         originCounter
	reachChecks         reachCounter
	relayedSends        relayCounter
	slotWaits           slotWaitCounter
	slotRefusals        slotRefusalCounter
	promptChoices       promptCounter
	domainChoices       domainCounter
	slowReadersEnded    slowReaderCounter
)

// slowReaderCounter counts the responses that were ended because their clients read too slowly, by
// reason.
type slowReaderCounter struct{}

func (slowReaderCounter) count(reason string) {
	metrics.GetOrCreateCounter(`parsleyramp_gateway_slow_readers_ended_total{reason="` + reason + `"}`).Inc()
}

// slotWaitCounter counts the waits for a slot by the urgency of the request and their outcome.
type slotWaitCounter struct{}

func (slotWaitCounter) count(urgency, outcome string) {
	metrics.GetOrCreateCounter(`parsleyramp_gateway_slot_waits_total{urgency="` + urgency + `",outcome="` + outcome + `"}`).Inc()
}

// slotRefusalCounter counts the requests that were refused for want of a slot by the urgency
// of the request and what bound the endpoint with the most room.
type slotRefusalCounter struct{}

func (slotRefusalCounter) count(urgency string, bound fleet.Bound) {
	metrics.GetOrCreateCounter(`parsleyramp_gateway_slot_refusals_total{urgency="` + urgency + `",bound="` + string(bound) + `"}`).Inc()
}

// Each request is counted here, so the counters are not looked up by name.
var (
	ownDomainChoices   = metrics.GetOrCreateCounter(`parsleyramp_gateway_choices_total{own_domain="true"}`)
	otherDomainChoices = metrics.GetOrCreateCounter(`parsleyramp_gateway_choices_total{own_domain="false"}`)
)

// domainCounter counts the choices of an endpoint by whether it is in the gateway's own failure
// domain.
type domainCounter struct{}

func (domainCounter) count(own bool) {
	if own {
		ownDomainChoices.Inc()
		return
	}
	otherDomainChoices.Inc()
}

// promptCounter counts the choices of an engine by the length of the prompt, and by whether the
// engine is in the half of the replicas that prompts of the length prefer.
type promptCounter struct{}

func (promptCounter) count(class fleet.PromptClass, preferred bool) {
	metrics.GetOrCreateCounter(`parsleyramp_gateway_prompt_choices_total{class="` + class.String() + `",preferred="` + strconv.FormatBool(preferred) + `"}`).Inc()
}

// relayCounter counts the requests that were sent by way of another gateway by outcome.
type relayCounter struct{}

func (relayCounter) count(outcome string) {
	metrics.GetOrCreateCounter(`parsleyramp_gateway_relayed_sends_total{outcome="` + outcome + `"}`).Inc()
}

// reachCounter counts the checks of whether this gateway reaches any endpoint of a group by
// result.
type reachCounter struct{}

func (reachCounter) count(reached bool) {
	metrics.GetOrCreateCounter(`parsleyramp_gateway_reach_checks_total{reached="` + strconv.FormatBool(reached) + `"}`).Inc()
}

// resumptionCounter counts the streams that clients take up here by whether the software
// version that began them is known and runs.
type resumptionCounter struct{}

func (resumptionCounter) count(known bool) {
	metrics.GetOrCreateCounter(`parsleyramp_gateway_resumptions_total{known="` + strconv.FormatBool(known) + `"}`).Inc()
}

// takeUpCounter counts the requests that take streams up by result: whether the stream went
// on, or else why not.
type takeUpCounter struct{}

func (takeUpCounter) count(result string) {
	metrics.GetOrCreateCounter(`parsleyramp_gateway_take_ups_total{result="` + result + `"}`).Inc()
}

// originCounter counts the origins of streams that were told to keepers by result.
type originCounter struct{}

func (originCounter) count(result string, n int) {
	metrics.GetOrCreateCounter(`parsleyramp_gateway_stream_origins_total{result="` + result + `"}`).Add(n)
}

// streamCounter counts the streams that endpoints have ended in order, by their framing
// and by whether they ended inside an event.
type streamCounter struct{}

func (streamCounter) count(f answer.Framing, insideEvent bool) {
	labels := `{framing="` + f.String() + `",inside_event="` + strconv.FormatBool(insideEvent) + `"}`
	metrics.GetOrCreateCounter("parsleyramp_gateway_streams_ended_total" + labels).Inc()
}

// brokenCounter counts requests that an endpoint broke off.
type brokenCounter struct{}

func (brokenCounter) count(refused bool) {
	metrics.GetOrCreateCounter(`parsleyramp_gateway_broken_requests_total{refused="` + strconv.FormatBool(refused) + `"}`).Inc()
}

// reservationCounter counts attempts to reserve a slot by result.
type reservationCounter struct{}

func (reservationCounter) count(result string) {
	metrics.GetOrCreateCounter(`parsleyramp_gateway_reservations_total{result="` + result + `"}`).Inc()
}

// sendCounter counts sends to endpoints by outcome.
type sendCounter struct{}

func (sendCounter) count(outcome string) {
	metrics.GetOrCreateCounter(`parsleyramp_gateway_sends_total{outcome="` + outcome + `"}`).Inc()
}

func (requestCounter) count(kind, outcome string) {
	metrics.GetOrCreateCounter(`parsleyramp_gateway_requests_total{kind="` + kind + `",outcome="` + outcome + `"}`).Inc()
}

// rejectionCounter counts rejected requests by error code.
type rejectionCounter struct{}

func (rejectionCounter) count(code fail.Code) {
	metrics.GetOrCreateCounter(`parsleyramp_gateway_refusals_total{code="` + string(code) + `"}`).Inc()
}

// labelEscaper escapes a label's value as the format of metrics requires.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// metricLabel returns a label of a metric with the value quoted.
func metricLabel(name, value string) string { return name + `="` + labelEscaper.Replace(value) + `"` }

// collectMetrics adds the metrics whose values are read at the time of a scrape.
func (g *Gateway) collectMetrics(_ context.Context, set *metrics.Set) {
	set.GetOrCreateCounter("parsleyramp_gateway_connections_opened_total").Set(g.pool.Opened())
	g.workspaces.collect(set)
	for p, n := range g.inFlight.counts() {
		set.NewGauge(`parsleyramp_gateway_in_flight_requests{phase="`+phase(p).String()+`"}`, func() float64 { return float64(n) })
	}
	g.quotas.collect(set)
	set.NewGauge("parsleyramp_gateway_unwritten_stream_bytes", func() float64 { return float64(g.streams.budget.used.Load()) })
	set.NewGauge("parsleyramp_gateway_kept_stream_origins", func() float64 { return float64(g.origins.len()) })
	set.NewGauge("parsleyramp_gateway_endpoints_out_of_reach", func() float64 { return float64(g.loads.OutOfReachCount()) })
	set.NewGauge("parsleyramp_gateway_limited_endpoints", func() float64 { return float64(g.limitedEndpoints()) })
	set.NewGauge("parsleyramp_gateway_slot_waiters", func() float64 { return float64(g.slots.count.Load()) })
	set.NewGauge("parsleyramp_gateway_document_version", func() float64 { return float64(g.documentVersion()) })
	set.NewGauge("parsleyramp_gateway_document_unconfirmed_seconds", func() float64 {
		return (g.bootClock() - time.Duration(g.confirmedAt.Load())).Seconds()
	})
	set.NewGauge("parsleyramp_gateway_view_revision", func() float64 {
		if v := g.view.Load(); v != nil {
			return float64(v.Revision)
		}
		return 0
	})
}
