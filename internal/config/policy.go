package config

import (
	_ "embed"
	"os"
	"strings"

	"github.com/expr-lang/expr/vm"

	"dunestand/internal/units"
)

//go:embed default.policy
var defaultPolicy string

// NoDeadline is due_s of a job of which nothing says when it is due.
const NoDeadline = 1e9

// RankInput holds the variables of a policy's rank, which describe one job. Names that end
// in S are in seconds.
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

// FleetInput holds the variables of a policy's settings on the fleet.
type FleetInput struct {
	GuaranteedCPUs float64 `expr:"guaranteed_cpus"`
	LimitCPUs      float64 `expr:"limit_cpus"`
	DemandCPUs     float64 `expr:"demand_cpus"`
	FleetCPUs      float64 `expr:"fleet_cpus"`
	QuietS         float64 `expr:"quiet_s"` // seconds
	Hour           int     `expr:"hour"`    // 0 to 23, UTC
}

// Policy holds the operators' choices. Nothing in it can break a rule: it
// orders what may be done, and says what to keep. It is not changed once it has been
// parsed, and may be used from several goroutines.
type Policy struct {
	rank, reserve, idle, spot *vm.Program
	// Admission says how new jobs are admitted under overload.
	Admission AdmissionPolicy
}

// policySettings parse the setting of each name into a policy.
var policySettings = map[string]func(*Policy, policySource) error{
	"rank":            numberSetting(RankInput{}, func(p *Policy) **vm.Program { return &p.rank }),
	"reserve_cpus":    numberSetting(FleetInput{}, func(p *Policy) **vm.Program { return &p.reserve }),
	"idle_return_s":   numberSetting(FleetInput{}, func(p *Policy) **vm.Program { return &p.idle }),
	"spot_preference": numberSetting(FleetInput{}, func(p *Policy) **vm.Program { return &p.spot }),

	"admission_horizon_s":    (*Policy).parseHorizon,
	"admission_team_shares":  (*Policy).parseTeamShares,
	"admission_class_shares": (*Policy).parseClassShares,
}

// numberSetting parses an expression of the variables in env whose result is a number.
func numberSetting(env any, field func(*Policy) **vm.Program) func(*Policy, policySource) error {
	return func(p *Policy, source policySource) error {
		program, err := source.compileNumber(env)
		if err != nil {
			return err
		}
		*field(p) = program
		return nil
	}
}

// DefaultPolicy returns the policy that is built in.
func DefaultPolicy() *Policy {
	policy, err := ParsePolicy("default.policy", defaultPolicy, nil)
	if err != nil {
		panic(err) // embedded: a mistake here fails every test
	}
	return policy
}

// LoadPolicy reads a policy file; what it leaves out is as in the default. A mistake in the
// file is a *PolicyError.
func LoadPolicy(path string) (*Policy, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParsePolicy(path, string(raw), DefaultPolicy())
}

// ParsePolicy reads a policy's text: lines of "name = expression", which may
// go on in indented lines, and comments from # on. What the text leaves out is as in base,
// if that is not nil. A mistake is a *PolicyError with the file's name.
func ParsePolicy(name, text string, base *Policy) (*Policy, error) {
	policy := new(Policy)
	if base != nil {
		*policy = *base
	}
	scanner := policyScanner{file: name, lines: strings.Split(text, "\n")}
	seen := map[string]bool{}
	for {
		statement, err := scanner.scan()
		if err != nil {
			return nil, err
		}
		if statement == nil {
			return policy, nil
		}
		if err := policy.parseStatement(statement, seen); err != nil {
			return nil, err
		}
	}
}

// parseStatement parses a setting that is not among those seen, and adds it to them.
func (p *Policy) parseStatement(statement *policyStatement, seen map[string]bool) error {
	if seen[statement.name] {
		return statement.source.lineStart().errorf("%s is set twice", statement.name)
	}
	seen[statement.name] = true
	parse := policySettings[statement.name]
	if parse == nil {
		return statement.source.lineStart().errorf("unknown setting %q", statement.name)
	}
	return parse(p, statement.source)
}

// Rank orders jobs of one priority; a smaller one goes first. An expression
// that fails at run time counts as 0.
func (p *Policy) Rank(in RankInput) float64 {
	rank, err := evaluate(p.rank, in)
	if err != nil {
		return 0
	}
	return rank
}

// ReserveCPUs is how many processors to keep in the fleet even when nothing needs
// them.
func (p *Policy) ReserveCPUs(in FleetInput) units.Amount {
	return units.AmountOf(atLeastZero(p.reserve, in))
}

// IdleTimeout is how long a machine may be idle before it is scaled in.
func (p *Policy) IdleTimeout(in FleetInput) units.Micros {
	return units.Seconds(atLeastZero(p.idle, in))
}

// SpotPreference is how many times dearer an ordinary instance may be and
// still be preferred to a spot instance.
func (p *Policy) SpotPreference(in FleetInput) float64 { return atLeastZero(p.spot, in) }

// atLeastZero runs a program. A negative result, or an expression that fails at run time,
// counts as 0.
func atLeastZero(program *vm.Program, in FleetInput) float64 {
	number, err := evaluate(program, in)
	if err != nil || number < 0 {
		return 0
	}
	return number
}
