package federation

import (
	"fmt"
	"math"
	"net/netip"
	"slices"

	"github.com/gaissmai/bart"

	"dunestand/internal/config"
	"dunestand/internal/units"
)

// Config is the cells file, checked: which cells there are, and how jobs move between them.
type Config struct {
	// Self is the name of the cell that this controller belongs to.
	Self string
	// CompleteByHour is the hour of the day, UTC, by which work is to be complete.
	CompleteByHour int
	Timing         Timing
	// Margin is by how much sooner another cell must be expected to complete a job.
	Margin units.Micros
	// MaxMoves is how often a job may be handed over.
	MaxMoves int
	Cells    []Cell
	// Classes are the rules of classes; a class that is not named is not handed over.
	Classes []ClassPolicy

	networks *bart.Table[string]
}

// Cell is one of the cells.
type Cell struct {
	Name        string
	Controllers []netip.AddrPort
	Networks    []netip.Prefix
}

// ClassPolicy says what is allowed of a class's jobs.
type ClassPolicy struct {
	Name        string
	MaxRestarts int // how often a job may be begun anew beyond its first run
}

// UnlimitedRestarts stands for a class whose jobs may be begun anew as often as needed.
const UnlimitedRestarts = math.MaxInt32

// Cell gives the cell of a name, nil if there is none.
func (c *Config) Cell(name string) *Cell {
	if i := slices.IndexFunc(c.Cells, func(cell Cell) bool { return cell.Name == name }); i >= 0 {
		return &c.Cells[i]
	}
	return nil
}

// Class gives the rules of a class, nil if its jobs are not handed over.
func (c *Config) Class(name string) *ClassPolicy {
	if i := slices.IndexFunc(c.Classes, func(class ClassPolicy) bool { return class.Name == name }); i >= 0 {
		return &c.Classes[i]
	}
	return nil
}

// CellByAddress names the cell that an address belongs to, "" for none.
func (c *Config) CellByAddress(address netip.Addr) string {
	name, _ := c.networks.Lookup(address.Unmap())
	return name
}

// Permits tells whether messages in a cell's name may come from an address.
func (c *Config) Permits(address netip.Addr, cell string) bool {
	return cell != "" && c.CellByAddress(address) == cell
}

// CheckSettings tells whether the cell's own settings and the cells file go together.
func (c *Config) CheckSettings(settings *config.Settings) error {
	workers := settings.Fleet.Workers
	if c.Timing.StopGrace < withDrift(workers.Lease()) {
		return fmt.Errorf("stop_s: %v s is shorter than the workers' lease of %v s, drift included",
			c.Timing.StopGrace.Seconds(), workers.LeaseS)
	}
	if certain := c.Timing.ReclaimDelay(); certain > workers.Cancel() {
		return fmt.Errorf("lease_s: lease and stop take %v s, drift included, and do not fit cancel_s of %v s",
			certain.Seconds(), workers.CancelS)
	}
	for i, class := range c.Classes {
		known := func(o config.Objective) bool { return o.Class == class.Name }
		if !slices.ContainsFunc(settings.Fleet.Objectives, known) {
			return fmt.Errorf("class[%d].name: the settings have no class %q", i, class.Name)
		}
	}
	return nil
}
