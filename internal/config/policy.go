package config

import (
	_ "embed"
	"errors"
	"fmt"
	"math"
	"os"
	"strings"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/file"
	"github.com/expr-lang/expr/vm"

	"dunestand/internal/units"
)

//go:embed default.policy
var defaultPolicy string

// NoDeadline is due_s of a job of which nothing says when it is due.
const NoDeadline = 1e9

// RankInput is what a policy's rank is worked out from.
type RankInput struct {
	Class      string  `expr:"class"`
	Team       string  `expr:"team"`
	Priority   int     `expr:"priority"`
	Tasks      int     `expr:"tasks"`
	Unfinished int     `expr:"unfinished"`
	Pending    int     `expr:"pending"`
	WaitedS    float64 `expr:"waited_s"`
	RunS       float64 `expr:"run_s"`
	WorkS      float64 `expr:"work_s"`
	FinishS    float64 `expr:"finish_s"`
	DueS       float64 `expr:"due_s"`
	Late       bool    `expr:"late"`
	StartDueS  float64 `expr:"start_due_s"`
}

// FleetInput is what a policy's settings on the fleet are worked out from.
type FleetInput struct {
	GuaranteedCPUs float64 `expr:"guaranteed_cpus"`
	LimitCPUs      float64 `expr:"limit_cpus"`
	DemandCPUs     float64 `expr:"demand_cpus"`
	FleetCPUs      float64 `expr:"fleet_cpus"`
	QuietS         float64 `expr:"quiet_s"`
	Hour           int     `expr:"hour"`
}

// Policy holds the operators' choices. Nothing in it can break a rule: it
// orders what may be done, and says what to keep.
type Policy struct {
	rank, reserve, idle, spot *vm.Program
	// Admission says how new jobs are admitted under overload.
	Admission AdmissionPolicy
}

type policySetting struct {
	name string
	env  any
	into func(*Policy) **vm.Program
}

var policySettings = []policySetting{
	{"rank", RankInput{}, func(p *Policy) **vm.Program { return &p.rank }},
	{"reserve_cpus", FleetInput{}, func(p *Policy) **vm.Program { return &p.reserve }},
	{"idle_return_s", FleetInput{}, func(p *Policy) **vm.Program { return &p.idle }},
	{"spot_preference", FleetInput{}, func(p *Policy) **vm.Program { return &p.spot }},
}

// DefaultPolicy is the policy that is built in.
func DefaultPolicy() *Policy {
	p, err := ParsePolicy("default.policy", defaultPolicy, nil)
	if err != nil {
		panic(err) // embedded: a mistake here fails every test
	}
	return p
}

// LoadPolicy reads a policy file; what it leaves out is as in the default.
func LoadPolicy(path string) (*Policy, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParsePolicy(path, string(raw), DefaultPolicy())
}

// ParsePolicy reads a policy's text: lines of "name = expression", which may
// go on in indented lines, and comments from # on. Errors name the line and
// the column.
func ParsePolicy(name, text string, base *Policy) (*Policy, error) {
	p := new(Policy)
	if base != nil {
		*p = *base
	}
	seen := map[string]bool{}
	lines := strings.Split(text, "\n")
	for n := 0; n < len(lines); n++ {
		line := stripComment(lines[n])
		if strings.TrimSpace(line) == "" {
			continue
		}
		key, text, ok := strings.Cut(line, "=")
		key = strings.TrimSpace(key)
		if !ok || line[0] == ' ' || line[0] == '\t' {
			return nil, fmt.Errorf("%s:%d:1: expected: name = expression", name, n+1)
		}
		if seen[key] {
			return nil, fmt.Errorf("%s:%d:1: %s is set twice", name, n+1, key)
		}
		seen[key] = true
		first, column := n, strings.IndexByte(line, '=')+1
		// Columns count from the start of the line in the file.
		text = strings.Repeat(" ", column) + text
		for n+1 < len(lines) && continues(lines[n+1]) {
			n++
			text += "\n" + stripComment(lines[n])
		}
		if err := p.set(key, policySource{file: name, first: first, text: text}); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// policySource is the expression of a setting and where it stands.
type policySource struct {
	file  string
	first int // its first line, from 0
	text  string
}

// set compiles a setting's expression.
func (p *Policy) set(key string, source policySource) error {
	if set := admissionSettings[key]; set != nil {
		return set(&p.Admission, source)
	}
	setting := findSetting(key)
	if setting == nil {
		return fmt.Errorf("%s:%d:1: unknown setting %q", source.file, source.first+1, key)
	}
	program, err := source.compileNumber(setting.env)
	if err != nil {
		return err
	}
	*setting.into(p) = program
	return nil
}

// compileNumber compiles an expression that gives a number, and tries it.
func (s policySource) compileNumber(env any) (*vm.Program, error) {
	program, err := expr.Compile(s.text, expr.Env(env), expr.AsFloat64())
	if err != nil {
		return nil, s.locate(err)
	}
	if _, err := evaluate(program, env); err != nil {
		return nil, s.locate(err)
	}
	return program, nil
}

func findSetting(name string) *policySetting {
	for i := range policySettings {
		if policySettings[i].name == name {
			return &policySettings[i]
		}
	}
	return nil
}

func stripComment(line string) string {
	if i := strings.IndexByte(line, '#'); i >= 0 {
		line = line[:i]
	}
	return strings.TrimRight(line, " \t\r")
}

func continues(line string) bool {
	return line != "" && (line[0] == ' ' || line[0] == '\t')
}

// locate gives an error the file, line and column that it is about.
func (s policySource) locate(err error) error {
	var fe *file.Error
	if errors.As(err, &fe) {
		return fmt.Errorf("%s:%d:%d: %s", s.file, s.first+fe.Line, fe.Column+1, fe.Message)
	}
	return fmt.Errorf("%s:%d:1: %w", s.file, s.first+1, err)
}

func evaluate(program *vm.Program, env any) (float64, error) {
	v, err := expr.Run(program, env)
	if err != nil {
		return 0, err
	}
	f, ok := v.(float64)
	if !ok || math.IsNaN(f) {
		return 0, errors.New("the result is not a number")
	}
	return f, nil
}

// Rank orders jobs of one priority; a smaller one goes first. An expression
// that fails at run time counts as 0.
func (p *Policy) Rank(in RankInput) float64 {
	f, err := evaluate(p.rank, in)
	if err != nil {
		return 0
	}
	return f
}

// ReserveCPUs is how many processors to keep rented even when nothing needs
// them.
func (p *Policy) ReserveCPUs(in FleetInput) units.Amount {
	return units.AmountOf(p.fleet(p.reserve, in))
}

// IdleReturn is how long a machine may be idle before it is returned.
func (p *Policy) IdleReturn(in FleetInput) units.Micros { return units.Seconds(p.fleet(p.idle, in)) }

// SpotPreference is how many times dearer an ordinary machine may be and
// still be rented before a spot machine.
func (p *Policy) SpotPreference(in FleetInput) float64 { return p.fleet(p.spot, in) }

func (p *Policy) fleet(program *vm.Program, in FleetInput) float64 {
	f, err := evaluate(program, in)
	if err != nil || f < 0 {
		return 0
	}
	return f
}
