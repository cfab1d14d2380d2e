package fake

import "dunestand/internal/units"

// Clock is a clock that tests set. It must not be set while others read it.
type Clock struct{ Now units.Micros }

// Steady implements units.Clock.
func (c *Clock) Steady() units.Micros { return c.Now }

// Wall implements units.Clock.
func (c *Clock) Wall() units.Micros { return c.Now }

// CPUs returns a resource request of n processors and n GB of memory.
func CPUs(n int) units.Resources {
	return units.Resources{CPU: units.Amount(n) * 1_000_000, Memory: units.Amount(n) * 1_000_000}
}
