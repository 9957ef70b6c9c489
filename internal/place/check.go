package place

import (
	"fmt"

	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

// Check returns a fault for every availability zone of a document whose racks
// can't hold all gangs that are guaranteed in it.
func Check(doc *spec.Document) spec.Faults {
	var fas spec.Faults
	for i, zn := range doc.Declarations.Zones {
		if err := CheckGuarantees(doc.Declarations, zn.Name); err != nil {
			fas = append(fas, doc.Fault(fmt.Sprintf("$.zones[%d]", i), err.Error()))
		}
	}
	return fas
}

// CheckGuarantees returns an error if the declared racks of an availability
// zone can't hold all guaranteed gangs at once. The error says how many fit.
func CheckGuarantees(de *spec.Declarations, zone string) error {
	zn, ok := de.Zone(zone)
	if !ok {
		return fmt.Errorf("availability zone %q is not declared", zone)
	}
	units := UnitsOf(de, zone)
	fl := NewFleet(DeclaredWorkers(zn), units)
	unused, reserved := fl.UnusedUnits()
	if reserved == unused {
		return nil
	}
	return fmt.Errorf("availability zone %q can hold only %d of the %d gangs guaranteed in it", zone, reserved, unused)
}

// DeclaredWorkers returns the workers that a zone has by its declaration, all
// of them usable.
func DeclaredWorkers(zn spec.Zone) []Worker {
	var wos []Worker
	for _, ra := range zn.Racks {
		for i := range ra.Workers {
			wos = append(wos, Worker{
				Name: fmt.Sprintf("%s-%s-%d", zn.Name, ra.Name, i+1), Rack: ra.Name,
				Accelerators: ra.Accelerators, MaxTasks: ra.Cores, Usable: true,
			})
		}
	}
	return wos
}
