package fleetcontrol

import (
	"slices"
	"time"

	"parsleyramp/internal/consensus"
	"parsleyramp/internal/settings"
	"parsleyramp/internal/telemetry"
	"parsleyramp/internal/transport"
)

// Settings of parsleyramp-fleet.
type Settings struct {
	// ID names this VM; engines see it as the giver of orders.
	ID string `json:"id"`
	// Address is where other processes of the system reach this one, and
	// OperatorAddress where operators do, as ip:port.
	Address         string `json:"address"`
	OperatorAddress string `json:"operator_address"`
	// ListenAddress is where the process listens for other processes, where that
	// is not Address itself, for instance behind an address translation.
	ListenAddress string `json:"listen_address"`
	Domain        string `json:"domain"`
	// DataFolder holds identity, log and snapshot.
	DataFolder string `json:"data_folder"`
	// LiveList is the ip:port of the platform's list of endpoints.
	LiveList string `json:"live_list"`
	// Seeds are where operators reach up to three control replicas. Every
	// replica uses the same ports, so this one knows their inner addresses too.
	Seeds []string `json:"seeds"`
	// FirstStart is true only where the whole system starts for the first time:
	// then the seeds form the group.
	FirstStart bool `json:"first_start"`
	// ListInterval is the time between two looks at the live list, and
	// PlanInterval between two plans.
	ListInterval settings.Duration `json:"list_interval"`
	PlanInterval settings.Duration `json:"plan_interval"`
	// OrderLease is how long engines may still take the orders of an earlier
	// leader for valid.
	OrderLease settings.Duration `json:"order_lease"`
	// StoreWindow is the span over which loads from the weight store are counted.
	StoreWindow settings.Duration `json:"store_window"`
	// Heartbeat is the time between two messages of an idle leader to the other
	// replicas, and Election the shortest silence after which they elect another.
	Heartbeat settings.Duration `json:"heartbeat"`
	Election  settings.Duration `json:"election"`
	// CommitTimeout bounds the commit of a document.
	CommitTimeout settings.Duration `json:"commit_timeout"`
	// SnapshotEntries is how many log entries lead to a new snapshot.
	SnapshotEntries uint64 `json:"snapshot_entries"`
	// MemoryMB is the memory that the process may use; zero for no bound.
	MemoryMB  int                `json:"memory_mb"`
	Telemetry telemetry.Settings `json:"telemetry"`
}

// DefaultSettings returns the values of fields that a file leaves out.
func DefaultSettings() Settings {
	return Settings{
		ListInterval:    settings.Duration(500 * time.Millisecond),
		PlanInterval:    settings.Duration(150 * time.Millisecond),
		OrderLease:      settings.Duration(3 * time.Second),
		StoreWindow:     settings.Duration(5 * time.Second),
		Heartbeat:       settings.Duration(60 * time.Millisecond),
		Election:        settings.Duration(300 * time.Millisecond),
		CommitTimeout:   settings.Duration(900 * time.Millisecond),
		SnapshotEntries: 512,
		Telemetry:       telemetry.Defaults(),
	}
}

// Check reports fields that cannot be used.
func (s *Settings) Check(c *settings.Checker) {
	c.Require(s.ID != "", "id", "the name of this VM")
	c.Address("address", s.Address)
	c.Address("operator_address", s.OperatorAddress)
	if s.ListenAddress != "" {
		c.Address("listen_address", s.ListenAddress)
	}
	c.Require(s.Domain != "", "domain", "the name of a failure domain")
	c.Require(s.DataFolder != "", "data_folder", "a folder path")
	c.Address("live_list", s.LiveList)
	c.Require(len(s.Seeds) > 0, "seeds", "the address of one control replica or more")
	for _, a := range s.Seeds {
		c.Address("seeds", a)
	}
	c.Positive("list_interval", s.ListInterval)
	c.Positive("plan_interval", s.PlanInterval)
	c.Positive("order_lease", s.OrderLease)
	c.Positive("store_window", s.StoreWindow)
	c.Positive("heartbeat", s.Heartbeat)
	c.Require(s.Election >= 3*s.Heartbeat, "election", "three heartbeats or more")
	c.Positive("commit_timeout", s.CommitTimeout)
	c.Require(s.SnapshotEntries >= 16, "snapshot_entries", "16 or more")
	c.Require(s.MemoryMB >= 0, "memory_mb", "0 or more")
	s.Telemetry.Check(c)
}

// peers returns the inner addresses of the seeds.
func (s *Settings) seedPeers() []string {
	var out []string
	for _, a := range s.Seeds {
		out = append(out, transport.SamePort(a, s.Address))
	}
	return out
}

// seed reports whether this replica is one of the seeds.
func (s *Settings) isSeed() bool { return slices.Contains(s.seedPeers(), s.Address) }

// consensus returns the timing of the replicated log.
func (s *Settings) consensusConfig() consensus.Config {
	c := consensus.DefaultConfig()
	c.Heartbeat, c.Election = s.Heartbeat.D(), s.Election.D()
	return c
}
