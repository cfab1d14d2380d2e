package federation

import (
	"math"
	"net/netip"
	"slices"

	"github.com/gaissmai/bart"

	"dunestand/internal/config"
	"dunestand/internal/units"
)

// Config is a checked cells file: the cells of the federation and the rules by which jobs are
// transferred between them. It is immutable and safe for concurrent use.
type Config struct {
	// Self is the name of the cell that this controller belongs to.
	Self string
	// CompleteByHour is the hour of the day (UTC, 0 to 23) by which all work should be complete.
	CompleteByHour int
	// Timing is the same in all cells.
	Timing Timing
	// Margin is the minimum improvement in forecast completion time for which a job is
	// transferred.
	Margin units.Micros
	// MaxMoves is the maximum number of transfers per job.
	MaxMoves int
	// Cells lists all cells, including this one.
	Cells []Cell
	// Classes lists the classes whose jobs may be transferred.
	Classes []ClassPolicy

	networks *bart.Table[string] // cell name by network
}

// Cell describes one cluster of the federation.
type Cell struct {
	Name string
	// Controllers are the addresses at which other cells reach the controllers of this cell.
	Controllers []netip.AddrPort
	// Networks are the source networks from which messages of this cell are accepted.
	Networks []netip.Prefix
}

// ClassPolicy holds the transfer rules for the jobs of one class.
type ClassPolicy struct {
	Name string
	// MaxRestarts is the maximum number of restarts per job; the first run does not count.
	MaxRestarts int
}

// UnlimitedRestarts is the MaxRestarts value of a class without a restart limit.
const UnlimitedRestarts = math.MaxInt32

// Cell returns the cell with the given name, or nil if there is none.
func (c *Config) Cell(name string) *Cell {
	if i := slices.IndexFunc(c.Cells, func(cell Cell) bool { return cell.Name == name }); i >= 0 {
		return &c.Cells[i]
	}
	return nil
}

// Class returns the policy of a class, or nil if its jobs may not be transferred.
func (c *Config) Class(name string) *ClassPolicy {
	if i := slices.IndexFunc(c.Classes, func(class ClassPolicy) bool { return class.Name == name }); i >= 0 {
		return &c.Classes[i]
	}
	return nil
}

// CellByAddress returns the name of the cell whose networks contain the address, or "" if
// there is none.
func (c *Config) CellByAddress(address netip.Addr) string {
	name, _ := c.networks.Lookup(address.Unmap())
	return name
}

// Permits reports whether an address may send messages on behalf of a cell.
func (c *Config) Permits(address netip.Addr, cell string) bool {
	return cell != "" && c.CellByAddress(address) == cell
}

// CheckSettings returns an error if the cells file is inconsistent with the settings of this
// cell. The error is a *FieldError.
func (c *Config) CheckSettings(settings *config.Settings) error {
	workers := settings.Fleet.Workers
	if c.Timing.StopGrace < withDrift(workers.LeaseDuration()) {
		return fieldErrorf("stop_s", "%v s is shorter than the workers' lease of %v s plus clock drift",
			c.Timing.StopGrace.Seconds(), workers.LeaseS)
	}
	if delay := c.Timing.ReclaimDelay(); delay > workers.CancelBound() {
		return fieldErrorf("lease_s", "lease_s plus stop_s plus clock drift is %v s, which exceeds the bound given by cancel_s of %v s",
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
