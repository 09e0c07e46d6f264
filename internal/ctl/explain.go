package ctl

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"

	"connectrpc.com/connect"

	"parsleyramp/internal/controlclient"
	"parsleyramp/internal/fail"
	"parsleyramp/internal/wire"
)

// placementLine is one row of the output of explain: a model or adapter on one
// engine, or the reason for its absence.
type placementLine struct {
	Endpoint  string `json:"endpoint"`
	Domain    string `json:"domain"`
	Item      string `json:"item"`
	State     string `json:"state"`
	MemoryMB  uint64 `json:"memory_mb"`
	FreeMB    uint64 `json:"free_mb"`
	OpenOrder string `json:"open_order,omitempty"`
	Reason    string `json:"reason"`
}

func getMembers(ctx context.Context, client *controlclient.Client) (*wire.MembersResponse, error) {
	var m *wire.MembersResponse
	err := client.Do(ctx, func(ctx context.Context, c controlclient.Conn) error {
		r, err := c.Operator.Members(ctx, connect.NewRequest(&wire.MembersRequest{}))
		if err == nil {
			m = r.Msg
		}
		return err
	})
	return m, err
}

// runExplain prints for every engine whether it has the model, and why.
func runExplain(ctx context.Context, t *tool, args []string) error {
	if len(args) != 1 || !strings.Contains(args[0], "/") {
		return fail.New(fail.BadSettings, "one MODEL as team/name is required")
	}
	m, err := getMembers(ctx, t.client())
	if err != nil {
		return err
	}
	lines := explain(m, args[0])
	if t.json {
		return t.printJSON(lines)
	}
	w := tabwriter.NewWriter(t.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "ENDPOINT\tDOMAIN\tITEM\tSTATE\tMEMORY MB\tFREE MB\tOPEN ORDER\tREASON")
	for _, l := range lines {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\n", l.Endpoint, l.Domain, l.Item, l.State, l.MemoryMB, l.FreeMB, l.OpenOrder, l.Reason)
	}
	return w.Flush()
}

const mebibyte = 1 << 20

// explain returns a line for each resident of the model on each engine, or one
// line with the reason if the engine has none.
func explain(m *wire.MembersResponse, model string) []placementLine {
	allocated := map[string]uint64{}
	for _, r := range m.Residents {
		allocated[r.Endpoint] += r.MemoryBytes
	}
	var out []placementLine
	for _, e := range m.Endpoints {
		if e.Kind != wire.EndpointKind_ENDPOINT_KIND_ENGINE {
			continue
		}
		base := placementLine{Endpoint: e.Id, Domain: e.Domain, FreeMB: (e.MemoryBytes - min(e.MemoryBytes, allocated[e.Id])) / mebibyte}
		first := len(out)
		for _, r := range m.Residents {
			if r.Endpoint == e.Id && r.Model == model {
				out = append(out, residentLine(base, r, m.Orders))
			}
		}
		if len(out) == first {
			base.Item, base.State, base.Reason = model, "absent", absenceReason(e)
			out = append(out, base)
		}
	}
	return out
}

func residentLine(l placementLine, r *wire.Resident, orders []*wire.Order) placementLine {
	l.Item = r.Model + "@" + r.Version
	if r.Adapter != "" {
		l.Item += ":" + r.Adapter
	}
	l.State = strings.ToLower(strings.TrimPrefix(r.State.String(), "RESIDENT_STATE_"))
	l.MemoryMB, l.Reason = r.MemoryBytes/mebibyte, r.Reason
	for _, o := range orders {
		if o.Endpoint == r.Endpoint && o.Model == r.Model && o.Version == r.Version && o.Adapter == r.Adapter {
			l.OpenOrder = fmt.Sprintf("%s %d.%d", strings.ToLower(strings.TrimPrefix(o.Kind.String(), "ORDER_KIND_")), o.FenceTerm, o.FenceSequence)
			l.Reason = o.Reason
		}
	}
	return l
}

func absenceReason(e *wire.Endpoint) string {
	switch {
	case e.Leaving:
		return "the engine is leaving"
	case !e.Reachable:
		return "the engine cannot be reached"
	case e.Incarnation == "":
		return "the engine has not been probed yet"
	}
	return "no replica was planned here"
}
