package cmds

import (
	"os"

	"github.com/cicadawharf/cicadawharf/internal/strict"
	"github.com/cicadawharf/cicadawharf/pkg/client"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

// stepsFile is the content of a steps file, which is passed with --then.
type stepsFile struct {
	Steps []client.Step `yaml:"steps"`
}

// loadSteps reads the steps of a job after the first from a file. It returns no
// steps if the name of the file is empty. Invalid content is reported as
// spec.Faults.
func loadSteps(file string) ([]client.Step, error) {
	if file == "" {
		return nil, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, usageErrorf("flag --then: %v", err)
	}
	var sf stepsFile
	doc := strict.Decode(file, data, &sf)
	if doc.Err() == nil && len(sf.Steps) == 0 {
		doc.Report("$.steps", "steps must have at least one element")
	}
	for i := range sf.Steps {
		if sf.Steps[i].Shape.Adjacency == "" {
			sf.Steps[i].Shape.Adjacency = spec.DefaultAdjacency
		}
	}
	return sf.Steps, doc.Err()
}
