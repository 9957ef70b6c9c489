package main

func init() { cases["wide"] = playWide }

// playWide hands in one job of many small work units, and then small jobs.
func playWide(pl *plant) error {
	for range 4 {
		if _, err := pl.addWorker("a", capacity{CPU: 64000, MemMB: 262144, GPU: 8}); err != nil {
			return err
		}
	}
	if err := pl.startHosts(); err != nil {
		return err
	}
	width := 4096
	if !pl.trouble {
		width = 94
	}
	sm := submission{Spec: "work 8500 step 0 saves false"}
	for range 7 {
		sm.Steps = append(sm.Steps, step{Count: width, CPU: 5, MemMB: 10, EstimateMS: 8500})
	}
	if err := pl.submit(jobID(0), sm); err != nil {
		return err
	}
	accepted, err := pl.handInSmall(1)
	if err != nil {
		return err
	}
	pl.lookAt(accepted)
	return nil
}
