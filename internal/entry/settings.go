package entry

import (
	"time"

	"parsleyramp/internal/routing"
	"parsleyramp/internal/settings"
	"parsleyramp/internal/telemetry"
	"parsleyramp/internal/transport"
)

// Settings of parsleyramp-entry.
type Settings struct {
	// ID identifies this entry VM.
	ID string `json:"id"`
	// CallerAddress and PeerAddress are the addresses of this entry for clients and
	// for other entries, as ip:port.
	CallerAddress string `json:"caller_address"`
	PeerAddress   string `json:"peer_address"`
	// Domain is the failure domain of this VM.
	Domain string `json:"domain"`
	// Control lists the addresses of the control VMs, as ip:port.
	Control []string `json:"control"`
	// Heartbeat is the time between two heartbeats to the control leader.
	Heartbeat settings.Duration `json:"heartbeat"`
	// KeepAddresses is how long clients may cache the addresses of entries.
	KeepAddresses settings.Duration `json:"keep_addresses"`
	// MaxBodyBytes bounds the size of a request body, and MaxAnswerBytes the size
	// of a response that is not streamed.
	MaxBodyBytes   int64 `json:"max_body_bytes"`
	MaxAnswerBytes int64 `json:"max_answer_bytes"`
	// MaxAttempts bounds the failed attempts at one request. Redirects, and
	// rejections because the views of two entries differ, do not count.
	MaxAttempts int `json:"max_attempts"`
	// RoutingPolicy selects replicas: owner, round_robin or least_in_flight.
	RoutingPolicy string `json:"routing_policy"`
	// WriteTimeout bounds the write of one chunk of a response to a client.
	WriteTimeout settings.Duration `json:"write_timeout"`
	// BodyTimeout bounds the time to read a request body.
	BodyTimeout settings.Duration `json:"body_timeout"`
	// RequestTimeout bounds the time from the start of a request to its complete
	// response.
	RequestTimeout settings.Duration `json:"request_timeout"`
	// ServiceSlots is the number of concurrent calls that an endpoint of a plain
	// service serves.
	ServiceSlots int `json:"service_slots"`
	// ClaimRetention must equal the claim retention of the control plane.
	ClaimRetention settings.Duration `json:"claim_retention"`
	// MemoryMB is the memory that the process may use, in MB; zero for no limit.
	MemoryMB int `json:"memory_mb"`
	// ClientLimits bounds what clients take of it.
	ClientLimits transport.ClientLimitSettings `json:"client_limits"`
	Telemetry    telemetry.Settings            `json:"telemetry"`
}

// DefaultSettings returns the defaults for fields that a settings file omits.
func DefaultSettings() Settings {
	return Settings{
		Heartbeat:      settings.Duration(500 * time.Millisecond),
		KeepAddresses:  settings.Duration(5 * time.Second),
		MaxBodyBytes:   4 << 20,
		MaxAnswerBytes: 4 << 20,
		MaxAttempts:    3,
		RoutingPolicy:  string(routing.Owner),
		WriteTimeout:   settings.Duration(20 * time.Second),
		BodyTimeout:    settings.Duration(20 * time.Second),
		RequestTimeout: settings.Duration(2 * time.Minute),
		ServiceSlots:   32,
		ClaimRetention: settings.Duration(24 * time.Hour),
		Telemetry:      telemetry.Defaults(),
	}
}

// Check reports invalid fields.
func (s *Settings) Check(c *settings.Checker) {
	c.Require(s.ID != "", "id", "the name of this entry VM")
	c.Address("caller_address", s.CallerAddress)
	c.Address("peer_address", s.PeerAddress)
	c.Require(s.Domain != "", "domain", "the name of a failure domain")
	c.Require(len(s.Control) > 0, "control", "one control VM or more")
	for _, a := range s.Control {
		c.Address("control", a)
	}
	c.Positive("heartbeat", s.Heartbeat)
	c.Positive("keep_addresses", s.KeepAddresses)
	c.Require(s.MaxBodyBytes > 0, "max_body_bytes", "1 or more")
	c.Require(s.MaxAnswerBytes > 0, "max_answer_bytes", "1 or more")
	c.Require(s.MaxAttempts > 0, "max_attempts", "1 or more")
	c.Require(routing.Policy(s.RoutingPolicy).Valid(), "routing_policy", "owner, round_robin or least_in_flight")
	c.Positive("write_timeout", s.WriteTimeout)
	c.Positive("body_timeout", s.BodyTimeout)
	c.Positive("request_timeout", s.RequestTimeout)
	c.Require(s.ServiceSlots > 0, "service_slots", "1 or more")
	c.Positive("claim_retention", s.ClaimRetention)
	c.Require(s.MemoryMB >= 0, "memory_mb", "0 or more")
	s.ClientLimits.Check(c)
	s.Telemetry.Check(c)
}
