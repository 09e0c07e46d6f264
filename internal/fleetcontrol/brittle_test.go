package fleetcontrol

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"parsleyramp/internal/fleet"
	"parsleyramp/internal/wire"
)

func TestGatewaysTogetherTakeNoMoreThanTheRoomOfABrittleEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, e := newTestLeader(t, &fakeEngine{})
		room := int(fleet.BrittleRoom * float64(e.listed.Slots))
		const gateways = 9
		granted := map[string]int{}
		report := func() {
			for g := range gateways {
				id := fmt.Sprint(g)
				l.sync(&wire.SyncRequest{Gateway: &wire.Gateway{Id: id}, Loads: []*wire.InProgress{{Endpoint: "e", Running: uint32(granted[id])}}})
			}
		}
		ask := func() (total int) {
			for range e.listed.Slots {
				for g := range gateways {
					id := fmt.Sprint(g)
					if l.permit(&wire.PermitRequest{Gateway: id, Endpoint: "e", Brittle: true}).Granted {
						granted[id]++
					}
				}
			}
			for _, n := range granted {
				total += n
			}
			return total
		}
		report()
		if total := ask(); total != 0 {
			t.Errorf("a leader that may not know all loads yet granted %d requests", total)
		}
		time.Sleep(time.Second)
		report()
		if total := ask(); total != room {
			t.Errorf("%d requests were granted, want the room of %d", total, room)
		}
		time.Sleep(2 * grantMargin)
		report()
		if total := ask(); total != room {
			t.Errorf("%d requests are in flight after the gateways have reported, want %d", total, room)
		}
		granted["0"]--
		report()
		if total := ask(); total != room {
			t.Errorf("%d requests are in flight after one has ended, want %d", total, room)
		}
	})
}
