package fake

import "dunestand/internal/units"

// Clock implements units.Clock with a time that tests set. Now must not be written while other
// goroutines read the clock.
type Clock struct{ Now units.Micros }

// Steady implements units.Clock.
func (c *Clock) Steady() units.Micros { return c.Now }

// Wall implements units.Clock.
func (c *Clock) Wall() units.Micros { return c.Now }
