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
	// ID names this VM. Orders name it to engines as their holder.
	ID string `json:"id"`
	// Address is the address of this process for other processes of the system,
	// and OperatorAddress the one for operators, as ip:port.
	Address         string `json:"address"`
	OperatorAddress string `json:"operator_address"`
	// ListenAddress is the address at which the process listens for other
	// processes, if it differs from Address, for instance behind a NAT.
	ListenAddress string `json:"listen_address"`
	Domain        string `json:"domain"`
	// DataFolder holds the replica's identity, its log and its snapshot.
	DataFolder string `json:"data_folder"`
	// LiveList is the ip:port of the platform's live list.
	LiveList string `json:"live_list"`
	// Seeds are the operator addresses of up to three control replicas. All
	// replicas use the same ports, so their internal addresses follow from these.
	Seeds []string `json:"seeds"`
	// ToleratedLosses is the number of replicas whose disks may be lost at once.
	ToleratedLosses int `json:"tolerated_losses"`
	// FirstStart is true only when the whole system starts for the first time. Then
	// the seeds form the group.
	FirstStart bool `json:"first_start"`
	// ListInterval is the time between two reads of the live list, and
	// PlanInterval the time between two plans.
	ListInterval settings.Duration `json:"list_interval"`
	PlanInterval settings.Duration `json:"plan_interval"`
	// OrderLease is how long engines may consider orders of an earlier leader valid.
	OrderLease settings.Duration `json:"order_lease"`
	// StoreWindow is the time window in which loads from the weight store are
	// counted.
	StoreWindow settings.Duration `json:"store_window"`
	// Heartbeat is the time between two messages of an idle leader to the other
	// replicas, and Election the minimum time without messages after which they
	// elect another leader.
	Heartbeat settings.Duration `json:"heartbeat"`
	Election  settings.Duration `json:"election"`
	// CommitTimeout bounds the commit of a document.
	CommitTimeout settings.Duration `json:"commit_timeout"`
	// SnapshotEntries is the number of log entries after which a snapshot is taken.
	SnapshotEntries uint64 `json:"snapshot_entries"`
	// MemoryMB is the memory that the process may use; zero for no limit.
	MemoryMB int `json:"memory_mb"`
	// ClientLimits bounds what operators, gateways and other clients take of it.
	ClientLimits transport.ClientLimitSettings `json:"client_limits"`
	Telemetry    telemetry.Settings            `json:"telemetry"`
}

// DefaultSettings returns the default values of the settings.
func DefaultSettings() Settings {
	return Settings{
		ToleratedLosses: 1,
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

// Check reports invalid fields.
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
	c.Require(s.ToleratedLosses >= 0, "tolerated_losses", "0 or more")
	c.Require(s.MemoryMB >= 0, "memory_mb", "0 or more")
	s.ClientLimits.Check(c)
	s.Telemetry.Check(c)
}

// seedPeers returns the internal addresses of the seeds.
func (s *Settings) seedPeers() []string {
	var out []string
	for _, a := range s.Seeds {
		out = append(out, transport.WithPortOf(a, s.Address))
	}
	return out
}

// isSeed reports whether this replica is one of the seeds.
func (s *Settings) isSeed() bool { return slices.Contains(s.seedPeers(), s.Address) }

// smallestGroup is the number of voters below which no group shrinks.
const smallestGroup = 3

// minVoters returns the number of voters below which the group does not shrink.
func (s *Settings) minVoters() int { return max(2*s.ToleratedLosses+1, smallestGroup) }

// consensusConfig returns the consensus settings.
func (s *Settings) consensusConfig() consensus.Config {
	c := consensus.DefaultConfig()
	c.HeartbeatInterval, c.ElectionTimeout = s.Heartbeat.D(), s.Election.D()
	return c
}
