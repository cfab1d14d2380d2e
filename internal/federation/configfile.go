package federation

import (
	"errors"
	"fmt"
	"net/netip"

	"github.com/BurntSushi/toml"
	"github.com/gaissmai/bart"

	"dunestand/internal/units"
)

// configFile is the file as it is written.
type configFile struct {
	Self       string      `toml:"self"`
	CompleteBy *int        `toml:"complete_by_hour"`
	LeaseS     float64     `toml:"lease_s"`
	StopS      float64     `toml:"stop_s"`
	MarginS    *float64    `toml:"margin_s"`
	Moves      *int        `toml:"moves"`
	Cells      []cellEntry `toml:"cell"`
	Classes    []struct {
		Name     string   `toml:"name"`
		Restarts restarts `toml:"restarts"`
	} `toml:"class"`
}

type cellEntry struct {
	Name        string   `toml:"name"`
	Controllers []string `toml:"controllers"`
	Networks    []string `toml:"networks"`
}

// restarts is "none", "any" or a number.
type restarts struct {
	given bool
	count int64
}

// UnmarshalTOML reads the value.
func (r *restarts) UnmarshalTOML(value any) error {
	r.given = true
	switch v := value.(type) {
	case int64:
		r.count = v
	case string:
		switch v {
		case "none":
		case "any":
			r.count = UnlimitedRestarts
		default:
			return fmt.Errorf(`restarts: %q is neither "none" nor "any" nor a number`, v)
		}
	default:
		return errors.New(`restarts: neither "none" nor "any" nor a number`)
	}
	return nil
}

// What a file that leaves them out means.
const (
	defaultMargin   = 60 * units.Second
	defaultMaxMoves = 2
)

// LoadCells reads and checks a cells file. Its error is one line that names the field.
func LoadCells(path string) (*Config, error) {
	var file configFile
	meta, err := toml.DecodeFile(path, &file)
	if err != nil {
		var parse toml.ParseError
		if errors.As(err, &parse) {
			return nil, fmt.Errorf("%s:%d: %s", path, parse.Position.Line, parse.Message)
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("%s: %s: unknown field", path, unknown[0])
	}
	cells, err := file.config()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return cells, nil
}

// config checks the file.
func (f *configFile) config() (*Config, error) {
	c := &Config{
		Self:     f.Self,
		Margin:   defaultMargin,
		MaxMoves: defaultMaxMoves,
		networks: new(bart.Table[string]),
	}
	for _, check := range []func(*Config) error{f.applyTimes, f.applyCells, f.applyClasses} {
		if err := check(c); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (f *configFile) applyTimes(c *Config) error {
	switch {
	case f.CompleteBy == nil:
		return errors.New("complete_by_hour: missing")
	case *f.CompleteBy < 0 || *f.CompleteBy > 23:
		return fmt.Errorf("complete_by_hour: %d is no hour of the day", *f.CompleteBy)
	case !(f.LeaseS >= 1 && f.LeaseS <= 3600):
		return fmt.Errorf("lease_s: %v is not between 1 and 3600", f.LeaseS)
	case !(f.StopS > 0 && f.StopS <= 3600):
		return fmt.Errorf("stop_s: %v is not above 0 and at most 3600", f.StopS)
	case f.MarginS != nil && !(*f.MarginS >= 0 && *f.MarginS <= 86400):
		return fmt.Errorf("margin_s: %v is not between 0 and 86400", *f.MarginS)
	case f.Moves != nil && *f.Moves < 1:
		return fmt.Errorf("moves: %d is below 1", *f.Moves)
	}
	c.CompleteByHour = *f.CompleteBy
	c.Timing = Timing{Lease: units.Seconds(f.LeaseS), StopGrace: units.Seconds(f.StopS)}
	if f.MarginS != nil {
		c.Margin = units.Seconds(*f.MarginS)
	}
	if f.Moves != nil {
		c.MaxMoves = *f.Moves
	}
	return nil
}

func (f *configFile) applyCells(c *Config) error {
	for i, entry := range f.Cells {
		field := fmt.Sprintf("cell[%d]", i)
		cell, err := entry.parse(field)
		if err != nil {
			return err
		}
		if c.Cell(cell.Name) != nil {
			return fmt.Errorf("%s.name: %q is listed twice", field, cell.Name)
		}
		for k, network := range cell.Networks {
			if c.networks.OverlapsPrefix(network) {
				return fmt.Errorf("%s.networks[%d]: %v overlaps another network", field, k, network)
			}
			c.networks.Insert(network, cell.Name)
		}
		for k, controller := range cell.Controllers {
			if !c.Permits(controller.Addr(), cell.Name) {
				return fmt.Errorf("%s.controllers[%d]: %v is in none of the cell's networks", field, k, controller)
			}
		}
		c.Cells = append(c.Cells, cell)
	}
	switch {
	case len(c.Cells) < 2:
		return errors.New("cell: fewer than two cells")
	case c.Cell(c.Self) == nil:
		return fmt.Errorf("self: %q is none of the cells", c.Self)
	}
	return nil
}

func (e *cellEntry) parse(field string) (Cell, error) {
	cell := Cell{Name: e.Name}
	if !validCellName(e.Name) {
		return cell, fmt.Errorf("%s.name: %q is not made of up to 32 of a-z, 0-9 and -", field, e.Name)
	}
	if len(e.Controllers) == 0 {
		return cell, fmt.Errorf("%s.controllers: missing", field)
	}
	for k, text := range e.Controllers {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return cell, fmt.Errorf("%s.controllers[%d]: %q is not an IP address and port", field, k, text)
		}
		cell.Controllers = append(cell.Controllers, address)
	}
	if len(e.Networks) == 0 {
		return cell, fmt.Errorf("%s.networks: missing", field)
	}
	for k, text := range e.Networks {
		network, err := netip.ParsePrefix(text)
		if err != nil || network != network.Masked() {
			return cell, fmt.Errorf("%s.networks[%d]: %q is not a network such as 10.0.0.0/24", field, k, text)
		}
		cell.Networks = append(cell.Networks, network)
	}
	return cell, nil
}

func (f *configFile) applyClasses(c *Config) error {
	for i, class := range f.Classes {
		field := fmt.Sprintf("class[%d]", i)
		switch {
		case class.Name == "":
			return fmt.Errorf("%s.name: missing", field)
		case c.Class(class.Name) != nil:
			return fmt.Errorf("%s.name: %q is listed twice", field, class.Name)
		case !class.Restarts.given:
			return fmt.Errorf("%s.restarts: missing", field)
		case class.Restarts.count < 0:
			return fmt.Errorf("%s.restarts: %d is below 0", field, class.Restarts.count)
		}
		c.Classes = append(c.Classes, ClassPolicy{
			Name:        class.Name,
			MaxRestarts: int(min(class.Restarts.count, UnlimitedRestarts)),
		})
	}
	return nil
}
