package federation

import (
	"math"
	"net/netip"
	"slices"

	"github.com/gaissmai/bart"

	"dunestand/internal/config"
	"dunestand/internal/units"
)

// Config is a checked cells file: which cells there are, and how jobs move between them. It
// does not change once it is read, and is safe for concurrent use.
type Config struct {
	// Self is the name of the cell that this controller belongs to.
	Self string
	// CompleteByHour is the hour of the day, UTC, by which work is to be complete.
	CompleteByHour int
	// Timing is the same in all cells.
	Timing Timing
	// Margin is by how much sooner another cell must be expected to complete a job.
	Margin units.Micros
	// MaxMoves is how often a job may be handed over.
	MaxMoves int
	// Cells are all cells, this one included.
	Cells []Cell
	// Classes are the classes whose jobs may be handed over.
	Classes []ClassPolicy

	networks *bart.Table[string] // names of cells by network
}

// Cell is one of the cells.
type Cell struct {
	Name string
	// Controllers are the addresses at which other cells reach this one's controllers.
	Controllers []netip.AddrPort
	// Networks are those that messages in the cell's name come from.
	Networks []netip.Prefix
}

// ClassPolicy is what is allowed of the jobs of a class.
type ClassPolicy struct {
	Name string
	// MaxRestarts is how often a job may be restarted, beyond its first run.
	MaxRestarts int
}

// UnlimitedRestarts is MaxRestarts of a class whose jobs may be restarted as often as needed.
const UnlimitedRestarts = math.MaxInt32

// Cell returns the cell of a name, nil if there is none.
func (c *Config) Cell(name string) *Cell {
	if i := slices.IndexFunc(c.Cells, func(cell Cell) bool { return cell.Name == name }); i >= 0 {
		return &c.Cells[i]
	}
	return nil
}

// Class returns the policy of a class, nil if its jobs are not handed over.
func (c *Config) Class(name string) *ClassPolicy {
	if i := slices.IndexFunc(c.Classes, func(class ClassPolicy) bool { return class.Name == name }); i >= 0 {
		return &c.Classes[i]
	}
	return nil
}

// CellByAddress returns the name of the cell that an address belongs to, "" for none.
func (c *Config) CellByAddress(address netip.Addr) string {
	name, _ := c.networks.Lookup(address.Unmap())
	return name
}

// Permits reports whether messages in a cell's name may come from an address.
func (c *Config) Permits(address netip.Addr, cell string) bool {
	return cell != "" && c.CellByAddress(address) == cell
}

// CheckSettings returns why the cells file does not agree with the settings of this cell,
// nil if it does. Its error is a *FieldError.
func (c *Config) CheckSettings(settings *config.Settings) error {
	workers := settings.Fleet.Workers
	if c.Timing.StopGrace < withDrift(workers.LeaseDuration()) {
		return fieldErrorf("stop_s", "%v s is shorter than the workers' lease of %v s, drift included",
			c.Timing.StopGrace.Seconds(), workers.LeaseS)
	}
	if delay := c.Timing.ReclaimDelay(); delay > workers.CancelBound() {
		return fieldErrorf("lease_s", "lease and stop take %v s, drift included, and do not fit cancel_s of %v s",
			delay.Seconds(), workers.CancelS)
	}
	for i, class := range c.Classes {
		known := func(o config.Objective) bool { return o.Class == class.Name }
		if !slices.ContainsFunc(settings.Fleet.Objectives, known) {
			return fieldErrorf(classField(i, "name"), "the settings have no class %q", class.Name)
		}
	}
	return nil
}
