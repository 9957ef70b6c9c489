package domain_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/batch"
)

// TestBurstOfOneWorkspaceDelaysOthers lets one workspace hand in far more than
// the fleet can do, and another one hand in a little a second later. Without fair
// sharing that waits behind all of the first one's work.
func TestBurstOfOneWorkspaceDelaysOthers(t *testing.T) {
	for name, gang := range map[string]bool{"small tasks": false, "a gang": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			wo := calm(4)
			for i := range 24 {
				jb, pl := single(fmt.Sprintf("burst%02d", i), 1, 16, 4*time.Second)
				wo.submit(jb, pl)
			}
			wo.run(time.Second)
			small, pl := single("small", 1, 8, 2*time.Second)
			small.Workspace = "b"
			small.Steps[0].Gang = gang
			small.Steps[0].Needs.Accelerators = 2
			wo.submit(small, pl)
			wo.run(20 * time.Second)
			is.Equal(wo.state("small"), batch.Done)
			is.True(wo.took("small") <= small.Queue.Objective(small.LongestChain()))
			is.Equal(wo.check(), nil)
		})
	}
}

// TestFormerUseCountsForSeconds fills the fleet by one workspace, and then lets
// it and another one that has had nothing wait for the same room. The other one
// begins first, although it came later.
func TestFormerUseCountsForSeconds(t *testing.T) {
	is := is.New(t)
	wo := calm(1)
	hand := func(id, workspace string) {
		jb, pl := single(id, 1, 8, 3*time.Second)
		jb.Workspace = workspace
		jb.Steps[0].Gang = true
		wo.submit(jb, pl)
		wo.run(100 * time.Millisecond)
	}
	hand("fill", "a")
	hand("again", "a")
	hand("other", "b")
	wo.run(12 * time.Second)
	is.True(wo.endOf("other").Before(wo.endOf("again")))
	is.Equal(wo.check(), nil)
}

// TestOneWorkspaceKeepsTheOldOrder lets jobs of one workspace wait while another
// one runs and does not wait. They begin as they came.
func TestOneWorkspaceKeepsTheOldOrder(t *testing.T) {
	is := is.New(t)
	wo := calm(1)
	for i, id := range []string{"other", "c", "b", "a"} {
		jb, pl := single(id, 1, 8, 2*time.Second)
		if i == 0 {
			jb.Workspace = "b"
		}
		wo.submit(jb, pl)
		wo.run(100 * time.Millisecond)
	}
	wo.run(15 * time.Second)
	is.True(wo.endOf("c").Before(wo.endOf("b")))
	is.True(wo.endOf("b").Before(wo.endOf("a")))
}

// TestWaitsTellOfWorkspaces has two workspaces wait for a fleet that one of them
// fills, and looks at what operators are told of both.
func TestWaitsTellOfWorkspaces(t *testing.T) {
	is := is.New(t)
	wo := calm(1)
	for _, id := range []string{"a", "b"} {
		jb, pl := single(id, 1, 12, 10*time.Second)
		jb.Workspace = id
		wo.submit(jb, pl)
		wo.run(200 * time.Millisecond)
	}
	wo.run(2 * time.Second)
	shs := wo.waits[len(wo.waits)-1].Shares
	is.Equal(len(shs), 2)
	is.Equal(shs[0].Workspace, "a")
	is.Equal(shs[0].Entitled, 0.5)
	is.Equal(shs[0].Used, 1.0)
	is.Equal(shs[0].Borrowed, 0.5)
	is.Equal(shs[0].Accelerators, 4)
	is.Equal(shs[1].Used, 0.0)
	is.Equal(shs[1].Units, 12)
	is.True(shs[0].Excess > 1)
	is.True(shs[1].Oldest > time.Second)
}
