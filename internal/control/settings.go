package control

import (
	"time"

	"parsleyramp/internal/settings"
	"parsleyramp/internal/telemetry"
	"parsleyramp/internal/transport"
)

// Settings are the settings of parsleyramp-control.
type Settings struct {
	// Address is the ip:port at which other processes reach this one.
	Address string `json:"address"`
	// Domain is the failure domain of this VM.
	Domain string `json:"domain"`
	// DataFolder is the path of the folder with the identity, log and snapshot.
	DataFolder string `json:"data_folder"`
	// LiveList is the ip:port of the platform's list of live and leaving VMs.
	LiveList string `json:"live_list"`
	// EntryLease is how long an entry may serve after a heartbeat.
	EntryLease settings.Duration `json:"entry_lease"`
	// PollInterval is the time between two passes of the leader, in which it reads
	// the live list, probes engines and plans.
	PollInterval settings.Duration `json:"poll_interval"`
	// SnapshotEntries is the number of log entries after which a new snapshot is
	// written.
	SnapshotEntries uint64 `json:"snapshot_entries"`
	// ModelLoads and AdapterLoads bound the loads in flight.
	ModelLoads   int `json:"model_loads"`
	AdapterLoads int `json:"adapter_loads"`
	// ModelLoadRate is the number of model loads per second that may start under
	// the rate limit of the store of model weights.
	ModelLoadRate float64 `json:"model_load_rate"`
	// MoveWeight is the weight of the number of moves against attainment, the share
	// of requests that meet their latency target: 0 if only attainment counts, 1 if
	// moves count most.
	MoveWeight float64 `json:"move_weight"`
	// ReplicaRate is the number of requests per second that one replica serves
	// within their latency targets.
	ReplicaRate float64 `json:"replica_rate"`
	// OrderCopyLifetime is the longest time that a copy of an order whose
	// connection is closed can stay in the network or in a responsive engine
	// before it is executed or dropped.
	OrderCopyLifetime settings.Duration `json:"order_copy_lifetime"`
	// ClaimRetention is how long the record of a non-idempotent request is kept.
	ClaimRetention settings.Duration `json:"claim_retention"`
	// DeferredRetention is how long the response of a deferred request is kept
	// after its deadline.
	DeferredRetention settings.Duration `json:"deferred_retention"`
	// ApplyRetention is how long a resent change of a section gets the response to
	// the first one.
	ApplyRetention settings.Duration `json:"apply_retention"`
	// MaxClaims bounds the number of records of non-idempotent requests, and
	// ClaimAnswerBytes the total size of their response bodies.
	MaxClaims        uint64 `json:"max_claims"`
	ClaimAnswerBytes uint64 `json:"claim_answer_bytes"`
	// DeferredBytes bounds the total size of the request and response bodies of
	// all deferred requests, in which DeferredReserveBytes are reserved for the
	// response of each unfinished request.
	DeferredBytes        uint64 `json:"deferred_bytes"`
	DeferredReserveBytes uint64 `json:"deferred_reserve_bytes"`
	// SuspectRetention is how long a request stays a suspect or quarantined.
	SuspectRetention settings.Duration `json:"suspect_retention"`
	// TeamTokens holds, by team, the token that authorizes changes of its section.
	TeamTokens map[string]settings.Secret `json:"team_tokens"`
	// MemoryMB is the memory that the process may use, in MB; zero for no limit.
	MemoryMB int `json:"memory_mb"`
	// ClientLimits bounds what clients take of it.
	ClientLimits transport.ClientLimitSettings `json:"client_limits"`
	Telemetry    telemetry.Settings            `json:"telemetry"`
}

// DefaultSettings returns the defaults for fields that a settings file omits.
func DefaultSettings() Settings {
	return Settings{
		EntryLease:           settings.Duration(3 * time.Second),
		PollInterval:         settings.Duration(250 * time.Millisecond),
		SnapshotEntries:      4096,
		ModelLoads:           3,
		AdapterLoads:         24,
		ModelLoadRate:        3,
		MoveWeight:           0.5,
		ReplicaRate:          2,
		OrderCopyLifetime:    settings.Duration(30 * time.Second),
		ClaimRetention:       settings.Duration(24 * time.Hour),
		DeferredRetention:    settings.Duration(24 * time.Hour),
		ApplyRetention:       settings.Duration(24 * time.Hour),
		MaxClaims:            10000,
		ClaimAnswerBytes:     2 << 20,
		DeferredBytes:        4 << 20,
		DeferredReserveBytes: 8 << 10,
		SuspectRetention:     settings.Duration(time.Hour),
		Telemetry:            telemetry.Defaults(),
	}
}

// Check reports invalid fields.
func (s *Settings) Check(c *settings.Checker) {
	c.Address("address", s.Address)
	c.Require(s.Domain != "", "domain", "the name of a failure domain")
	c.Require(s.DataFolder != "", "data_folder", "a folder path")
	c.Address("live_list", s.LiveList)
	c.Positive("entry_lease", s.EntryLease)
	c.Positive("poll_interval", s.PollInterval)
	c.Require(s.SnapshotEntries >= 16, "snapshot_entries", "16 or more")
	c.Require(s.ModelLoads > 0, "model_loads", "1 or more")
	c.Require(s.AdapterLoads > 0, "adapter_loads", "1 or more")
	c.Require(s.ModelLoadRate > 0, "model_load_rate", "above 0 loads a second")
	c.Require(s.MoveWeight >= 0 && s.MoveWeight <= 1, "move_weight", "0 to 1")
	c.Require(s.ReplicaRate > 0, "replica_rate", "above 0 requests a second")
	c.Positive("order_copy_lifetime", s.OrderCopyLifetime)
	c.Positive("claim_retention", s.ClaimRetention)
	c.Positive("deferred_retention", s.DeferredRetention)
	c.Positive("apply_retention", s.ApplyRetention)
	c.Require(s.MaxClaims > 0, "max_claims", "1 or more")
	c.Require(s.ClaimAnswerBytes > 0, "claim_answer_bytes", "1 or more")
	c.Require(s.DeferredBytes > s.DeferredReserveBytes, "deferred_bytes", "more than deferred_reserve_bytes")
	c.Positive("suspect_retention", s.SuspectRetention)
	c.Require(len(s.TeamTokens) > 0, "team_tokens", "a token for one team or more")
	c.Require(s.MemoryMB >= 0, "memory_mb", "0 or more")
	s.ClientLimits.Check(c)
	s.Telemetry.Check(c)
}
