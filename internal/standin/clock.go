package standin

import "dunestand/internal/units"

// Clock is a clock that tests set. It must not be set while others read it.
type Clock struct{ Now units.Micros }

func (c *Clock) Steady() units.Micros { return c.Now }

func (c *Clock) Wall() units.Micros { return c.Now }

// CPUs is a resource request of some processors.
func CPUs(n int) units.Resources {
	return units.Resources{CPU: units.Amount(n) * 1_000_000, Memory: units.Amount(n) * 1_000_000}
}
