package procs_test

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/pkg/client"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

const (
	detectionBound = 3 * time.Second // time until a frozen host is detected as unreachable
	freezeAttempts = 3
)

// awaitSlots waits until a host is assigned the given number of slots.
func (eh *entryHost) awaitSlots(t *testing.T, want int) {
	t.Helper()
	eventually(t, fmt.Sprintf("%s has %d slots", eh.host, want), func() error {
		count, err := eh.slots()
		if err == nil && count != want {
			err = fmt.Errorf("%d slots", count)
		}
		return err
	})
}

// freezeUntilDetected freezes a host and checks that another one detects it as
// unreachable within detectionBound. It retries, since a busy machine may delay
// the detection.
func freezeUntilDetected(t *testing.T, eh, frozen *entryHost) {
	t.Helper()
	for range freezeAttempts {
		frozen.freeze(t)
		stopped := time.Now()
		awaitReachable(t, eh, frozen.host, false)
		took := time.Since(stopped)
		t.Logf("detected after %v", took)
		if took < detectionBound {
			return
		}
		frozen.signal(t, syscall.SIGCONT)
		awaitReachable(t, eh, frozen.host, true)
	}
	t.Fatalf("not detected within %v", detectionBound)
}

// TestFrozenPeer checks that the other host of a zone takes over the slots of a
// suspended host, and that the slots are divided again after it resumes.
func TestFrozenPeer(t *testing.T) {
	is := is.New(t)
	sy := start(t)
	leader, frozen := sy.scheduler(t, lima)
	before, err := leader.zoneStatus(lima)
	is.NoErr(err)
	for _, eh := range sy.hostsIn(lima) {
		eh.awaitSlots(t, 8*endpointsPerZone/hostsPerZone)
	}

	freezeUntilDetected(t, leader, frozen)
	leader.awaitSlots(t, 8*endpointsPerZone)
	an, err := leader.call("/alone", client.CallOptions{})
	is.NoErr(err)
	is.Equal(an.Code, codes.RequestDone)

	frozen.signal(t, syscall.SIGCONT)
	awaitReachable(t, leader, frozen.host, true)
	awaitReachable(t, frozen, leader.host, true)
	for _, eh := range sy.hostsIn(lima) {
		eh.awaitSlots(t, 8*endpointsPerZone/hostsPerZone)
		an, err := eh.call("/back", client.CallOptions{})
		is.NoErr(err)
		is.Equal(an.Code, codes.RequestDone)
	}
	is.Equal(sy.runsOfPath(t, "/alone"), 1)
	is.Equal(sy.runsOfPath(t, "/back"), hostsPerZone)
	after, err := leader.zoneStatus(lima)
	is.NoErr(err)
	is.Equal(after.Scheduler, leader.host) // freezing a host that isn't the scheduler doesn't change the scheduler
	is.Equal(after.Epoch, before.Epoch)
}
