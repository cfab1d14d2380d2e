package federation

import (
	"errors"
	"fmt"
	"net/netip"

	"github.com/BurntSushi/toml"
	"github.com/gaissmai/bart"

	"dunestand/internal/units"
)

// configFile is the TOML form of the cells file. A nil pointer is an omitted field.
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

// restarts is the TOML value "none", "any" or a number.
type restarts struct {
	given bool
	count int64
}

// UnmarshalTOML implements toml.Unmarshaler.
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
			return fieldErrorf("restarts", `%q is neither "none" nor "any" nor a number`, v)
		}
	default:
		return fieldErrorf("restarts", `neither "none" nor "any" nor a number`)
	}
	return nil
}

// Defaults of omitted fields.
const (
	defaultMargin   = 60 * units.Second
	defaultMaxMoves = 2
)

// Bounds of fields, in seconds. They reject values that were given in another unit.
const (
	minLeaseS  = 1
	maxLeaseS  = 3600
	maxStopS   = 3600
	maxMarginS = 86400
)

// LoadConfig reads and checks a cells file. The error is one line that begins with the path;
// it wraps a *FieldError if a field is unknown, out of range or inconsistent with another.
func LoadConfig(path string) (*Config, error) {
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
		return nil, fmt.Errorf("%s: %w", path, fieldErrorf(unknown[0].String(), "unknown field"))
	}
	c, err := file.config()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// config checks the file and converts it to a Config.
func (f *configFile) config() (*Config, error) {
	c := &Config{
		Self:     f.Self,
		Margin:   defaultMargin,
		MaxMoves: defaultMaxMoves,
		networks: new(bart.Table[string]),
	}
	for _, apply := range []func(*Config) error{f.applyTopLevel, f.applyCells, f.applyClasses} {
		if err := apply(c); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (f *configFile) applyTopLevel(c *Config) error {
	switch {
	case f.CompleteBy == nil:
		return fieldErrorf("complete_by_hour", "missing")
	case *f.CompleteBy < 0 || *f.CompleteBy > 23:
		return fieldErrorf("complete_by_hour", "%d is not an hour of the day (0 to 23)", *f.CompleteBy)
	case !(f.LeaseS >= minLeaseS && f.LeaseS <= maxLeaseS): // negated so that NaN is rejected
		return fieldErrorf("lease_s", "%v is not between %d and %d", f.LeaseS, minLeaseS, maxLeaseS)
	case !(f.StopS > 0 && f.StopS <= maxStopS):
		return fieldErrorf("stop_s", "%v is outside the range (0, %d]", f.StopS, maxStopS)
	case f.MarginS != nil && !(*f.MarginS >= 0 && *f.MarginS <= maxMarginS):
		return fieldErrorf("margin_s", "%v is not between 0 and %d", *f.MarginS, maxMarginS)
	case f.Moves != nil && *f.Moves < 1:
		return fieldErrorf("moves", "%d is below 1", *f.Moves)
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
		cell, err := entry.parse(i)
		if err != nil {
			return err
		}
		if err := c.addCell(cell, i); err != nil {
			return err
		}
	}
	switch {
	case len(c.Cells) < 2:
		return fieldErrorf("cell", "fewer than two cells")
	case c.Cell(c.Self) == nil:
		return fieldErrorf("self", "%q is not one of the cells", c.Self)
	}
	return nil
}

// parse converts the entry at the given index and checks it independently of other entries.
func (e *cellEntry) parse(index int) (Cell, error) {
	cell := Cell{Name: e.Name}
	if !validCellName(e.Name) {
		return cell, fieldErrorf(cellField(index, "name"), "%q is not a letter a-z followed by up to 31 of a-z, 0-9 and -", e.Name)
	}
	field := cellField(index, "controllers")
	if len(e.Controllers) == 0 {
		return cell, fieldErrorf(field, "missing")
	}
	for i, text := range e.Controllers {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return cell, fieldErrorf(elementField(field, i), "%q is not an IP address and port", text)
		}
		cell.Controllers = append(cell.Controllers, address)
	}
	field = cellField(index, "networks")
	if len(e.Networks) == 0 {
		return cell, fieldErrorf(field, "missing")
	}
	for i, text := range e.Networks {
		network, err := netip.ParsePrefix(text)
		if err != nil || network != network.Masked() {
			return cell, fieldErrorf(elementField(field, i), "%q is not a network such as 10.0.0.0/24", text)
		}
		cell.Networks = append(cell.Networks, network)
	}
	return cell, nil
}

// addCell adds the cell at the given index. It fails if the name or a network of the cell
// conflicts with a cell that was added before.
func (c *Config) addCell(cell Cell, index int) error {
	if c.Cell(cell.Name) != nil {
		return fieldErrorf(cellField(index, "name"), "%q is listed twice", cell.Name)
	}
	for i, network := range cell.Networks {
		if c.networks.OverlapsPrefix(network) {
			return fieldErrorf(elementField(cellField(index, "networks"), i), "%v overlaps another network", network)
		}
		c.networks.Insert(network, cell.Name)
	}
	for i, controller := range cell.Controllers {
		if !c.Permits(controller.Addr(), cell.Name) {
			return fieldErrorf(elementField(cellField(index, "controllers"), i), "%v is in none of the cell's networks", controller)
		}
	}
	c.Cells = append(c.Cells, cell)
	return nil
}

func (f *configFile) applyClasses(c *Config) error {
	for i, class := range f.Classes {
		switch {
		case class.Name == "":
			return fieldErrorf(classField(i, "name"), "missing")
		case c.Class(class.Name) != nil:
			return fieldErrorf(classField(i, "name"), "%q is listed twice", class.Name)
		case !class.Restarts.given:
			return fieldErrorf(classField(i, "restarts"), "missing")
		case class.Restarts.count < 0:
			return fieldErrorf(classField(i, "restarts"), "%d is below 0", class.Restarts.count)
		}
		c.Classes = append(c.Classes, ClassPolicy{
			Name:        class.Name,
			MaxRestarts: int(min(class.Restarts.count, UnlimitedRestarts)),
		})
	}
	return nil
}
