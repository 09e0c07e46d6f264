package main

import (
	"fmt"
	"time"

	"parsleyramp/platform/standin"
)

// check reads the newest acknowledged document back by way of each replica, has another one
// acknowledged and awaits it at each gateway. It returns how long the reads took.
func (b *bed) check() (time.Duration, error) {
	start := time.Now()
	newest := b.newest
	for _, id := range b.all() {
		if err := b.awaitRead(id, newest, start.Add(patience)); err != nil {
			return 0, wrap(err, "read back")
		}
	}
	for _, id := range b.all() {
		if !b.cores[id].process.Running() {
			return 0, fmt.Errorf("core-%d has exited", id)
		}
	}
	took := time.Since(start)
	b.event("read back after %v", took)
	time.Sleep(max(0, catchUp-took))
	if _, err := b.put(); err != nil {
		return 0, wrap(err, "next change")
	}
	for _, id := range b.all() {
		if err := b.awaitRead(id, b.newest, time.Now().Add(patience)); err != nil {
			return 0, wrap(err, "after the next change")
		}
	}
	return took, b.awaitGateways(b.ackedAt.Add(applyTime))
}

// awaitRead reads from a replica until it shows the version or a newer one. An older one is
// an error, as is none until the deadline.
func (b *bed) awaitRead(id, version int, deadline time.Time) error {
	for {
		got, err := b.read(id)
		switch {
		case err == nil && got < version:
			return fmt.Errorf("core-%d shows version %d, acknowledged was %d", id, got, version)
		case err == nil:
			return nil
		case time.Now().After(deadline):
			return wrap(err, "never")
		}
		time.Sleep(retryPause)
	}
}

// awaitGateways waits until each gateway applies the newest document. An answer by an older
// one is an error after the deadline, no answer only after patience.
func (b *bed) awaitGateways(deadline time.Time) error {
	client := standin.NewClient(standin.NewChecker())
	for i := range gatewayCount {
		for {
			applied, known := client.Applied(b.ctx, b.gatewayAddress(i+1, clientPort), uint64(b.newest))
			if applied {
				break
			}
			if late := time.Since(deadline); late > 0 && known || late > patience {
				return fmt.Errorf("gateway-%d does not apply version %d, answers %t", i+1, b.newest, known)
			}
			time.Sleep(retryPause)
		}
	}
	return nil
}
