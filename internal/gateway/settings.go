package gateway

import (
	"net"
	"strconv"
	"time"

	"parsleyramp/internal/retry"
	"parsleyramp/internal/settings"
	"parsleyramp/internal/telemetry"
	"parsleyramp/internal/transport"
)

// Settings of parsleyramp-gateway.
type Settings struct {
	// ID names this VM.
	ID string `json:"id"`
	// CallerAddress serves the requests of clients, ReadyAddress tells the platform
	// whether this VM accepts requests, and DirectoryAddress tells clients which
	// gateways to use, as ip:port. The last may be empty.
	CallerAddress    string `json:"caller_address"`
	ReadyAddress     string `json:"ready_address"`
	DirectoryAddress string `json:"directory_address"`
	// MetricsAddress serves the metrics.
	MetricsAddress string `json:"metrics_address"`
	// PeerAddress serves the other gateways, as ip:port. A gateway without it keeps nothing
	// for others, and relays no requests of theirs.
	PeerAddress string `json:"peer_address"`
	// EndpointSourceIP is the local address of connections to endpoints; empty for any.
	EndpointSourceIP string `json:"endpoint_source_ip"`
	Domain           string `json:"domain"`
	Region           string `json:"region"`
	// ControlSeeds are the operator addresses of up to three control replicas, and
	// ControlPort is the port on which all replicas serve gateways. The addresses
	// of other replicas are received with the view.
	ControlSeeds []string `json:"control_seeds"`
	ControlPort  int      `json:"control_port"`
	// SyncInterval is the time between two exchanges with the control leader.
	SyncInterval settings.Duration `json:"sync_interval"`
	// KeepAddresses is how long clients may cache the addresses of gateways.
	KeepAddresses settings.Duration `json:"keep_addresses"`
	// Grace is the grace period: the maximum duration of a graceful stop, at least
	// minGrace.
	Grace settings.Duration `json:"grace"`
	// RetryRatio, RetrySlack and RetryWindow bound the retries of all gateways to
	// one service.
	RetryRatio  float64           `json:"retry_ratio"`
	RetrySlack  float64           `json:"retry_slack"`
	RetryWindow settings.Duration `json:"retry_window"`
	// FailClosed makes the gateway refuse requests that need a key once it has not confirmed
	// its document with the control leader for KeyMaxAge.
	FailClosed bool              `json:"fail_closed"`
	KeyMaxAge  settings.Duration `json:"key_max_age"`
	// MemoryMB is the memory that the process may use; zero for no limit.
	MemoryMB int `json:"memory_mb"`
	// ClientLimits bounds what clients take of it.
	ClientLimits transport.ClientLimitSettings `json:"client_limits"`
	Telemetry    telemetry.Settings            `json:"telemetry"`
}

// DefaultSettings returns the defaults of fields that a file omits.
func DefaultSettings() Settings {
	return Settings{
		SyncInterval:  settings.Duration(100 * time.Millisecond),
		KeepAddresses: settings.Duration(2 * time.Second),
		Grace:         settings.Duration(8 * time.Second),
		RetryRatio:    0.2,
		RetrySlack:    20,
		RetryWindow:   settings.Duration(10 * time.Second),
		KeyMaxAge:     settings.Duration(5 * time.Second),
		Telemetry:     telemetry.Defaults(),
	}
}

// Check reports invalid fields.
func (s *Settings) Check(c *settings.Checker) {
	c.Require(s.ID != "", "id", "the name of this VM")
	c.Address("caller_address", s.CallerAddress)
	c.Address("ready_address", s.ReadyAddress)
	if s.DirectoryAddress != "" {
		c.Address("directory_address", s.DirectoryAddress)
	}
	c.Address("metrics_address", s.MetricsAddress)
	if s.PeerAddress != "" {
		c.Address("peer_address", s.PeerAddress)
	}
	c.Require(s.EndpointSourceIP == "" || net.ParseIP(s.EndpointSourceIP) != nil, "endpoint_source_ip", "an IP address")
	c.Require(s.Domain != "", "domain", "the name of a failure domain")
	c.Require(len(s.ControlSeeds) > 0, "control_seeds", "the address of one control replica or more")
	for _, a := range s.ControlSeeds {
		c.Address("control_seeds", a)
	}
	c.Require(s.ControlPort > 0 && s.ControlPort < 1<<16, "control_port", "a port number")
	c.Positive("sync_interval", s.SyncInterval)
	c.Positive("keep_addresses", s.KeepAddresses)
	c.Require(s.Grace.D() >= minGrace, "grace", "a duration of at least "+minGrace.String())
	c.Require(s.RetryRatio >= 0, "retry_ratio", "0 or more")
	c.Require(s.RetrySlack >= 0, "retry_slack", "0 or more")
	c.Positive("retry_window", s.RetryWindow)
	c.Positive("key_max_age", s.KeyMaxAge)
	c.Require(s.MemoryMB >= 0, "memory_mb", "0 or more")
	s.ClientLimits.Check(c)
	s.Telemetry.Check(c)
}

// controlAddresses returns the addresses at which the seeds serve gateways.
func (s *Settings) controlAddresses() []string {
	var out []string
	for _, a := range s.ControlSeeds {
		out = append(out, transport.WithPortOf(a, "0.0.0.0:"+strconv.Itoa(s.ControlPort)))
	}
	return out
}

// retryConfig returns the configuration of the retry budget that gateways share.
func (s *Settings) retryConfig() retry.GatewayBudgetConfig {
	return retry.GatewayBudgetConfig{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow.D()}
}
