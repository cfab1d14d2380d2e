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

// NoDeadline is the value of due_s for a job without a completion objective, and of start_due_s
// for a job without a start objective.
const NoDeadline = 1e9

// RankInput holds the variables of the rank expression, which describe one job. Fields whose
// names end in S are in seconds.
type RankInput struct {
	Class      string  `expr:"class"`
	Team       string  `expr:"team"`
	Priority   int     `expr:"priority"`
	Tasks      int     `expr:"tasks"`
	Unfinished int     `expr:"unfinished"`  // tasks
	Pending    int     `expr:"pending"`     // tasks
	WaitedS    float64 `expr:"waited_s"`    // since submission
	RunS       float64 `expr:"run_s"`       // estimated run time of one task
	WorkS      float64 `expr:"work_s"`      // estimated CPU seconds of the unfinished tasks
	FinishS    float64 `expr:"finish_s"`    // estimated time to complete if the team's whole quota limit is available
	DueS       float64 `expr:"due_s"`       // time left until the first completion objective that can be met, or else the last one
	Late       bool    `expr:"late"`        // the job is expected to miss all completion objectives
	StartDueS  float64 `expr:"start_due_s"` // time left until the start objective
}

// FleetInput holds the variables of the policy expressions that control the size of the fleet.
// CPU counts are totals over all teams or machines.
type FleetInput struct {
	GuaranteedCPUs float64 `expr:"guaranteed_cpus"`
	LimitCPUs      float64 `expr:"limit_cpus"`
	DemandCPUs     float64 `expr:"demand_cpus"`
	FleetCPUs      float64 `expr:"fleet_cpus"`
	QuietS         float64 `expr:"quiet_s"` // seconds since there was an unfinished batch job; 0 while there is one
	Hour           int     `expr:"hour"`    // 0 to 23, UTC
}

// Policy holds the operators' preferences: the order of jobs, the spare capacity of the fleet,
// and admission under overload. No policy can violate a quota or another invariant of the
// scheduler. A Policy is immutable after parsing and safe for concurrent use.
type Policy struct {
	rank, reserve, idle, spot *vm.Program
	// Admission controls which new jobs are admitted under overload.
	Admission AdmissionPolicy
}

// settingParsers maps the name of each setting to the function that parses its expression into
// a policy.
var settingParsers = map[string]func(*Policy, policySource) error{
	"rank":            numberSetting(RankInput{}, func(p *Policy) **vm.Program { return &p.rank }),
	"reserve_cpus":    numberSetting(FleetInput{}, func(p *Policy) **vm.Program { return &p.reserve }),
	"idle_return_s":   numberSetting(FleetInput{}, func(p *Policy) **vm.Program { return &p.idle }),
	"spot_preference": numberSetting(FleetInput{}, func(p *Policy) **vm.Program { return &p.spot }),

	"admission_horizon_s":    (*Policy).parseHorizon,
	"admission_team_shares":  (*Policy).parseTeamShares,
	"admission_class_shares": (*Policy).parseClassShares,
}

// numberSetting returns a parser for an expression that yields a number. The expression may
// use the variables in env; the compiled program is stored in field.
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

// DefaultPolicy returns a copy of the built-in policy.
func DefaultPolicy() *Policy {
	policy, err := ParsePolicy("default.policy", defaultPolicy, nil)
	if err != nil {
		panic(err) // the policy is embedded: an invalid one fails every test
	}
	return policy
}

// LoadPolicy reads a policy file. Settings that the file omits have their default values. An
// invalid policy is reported as a *PolicyError.
func LoadPolicy(path string) (*Policy, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParsePolicy(path, string(raw), DefaultPolicy())
}

// ParsePolicy parses the text of a policy: statements of the form "name = expression", which
// may continue on indented lines, and comments that begin with #. Settings that the text omits
// are copied from base unless base is nil. An invalid policy is reported as a *PolicyError
// whose position has name as its file.
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

// parseStatement parses a statement into the policy and adds its name to seen. It fails if seen
// already contains the name.
func (p *Policy) parseStatement(statement *policyStatement, seen map[string]bool) error {
	if seen[statement.name] {
		return statement.source.lineStart().errorf("%s is set twice", statement.name)
	}
	seen[statement.name] = true
	parse := settingParsers[statement.name]
	if parse == nil {
		return statement.source.lineStart().errorf("unknown setting %q", statement.name)
	}
	return parse(p, statement.source)
}

// Rank returns the rank of a job among jobs of the same priority; lower ranks come first. The
// rank is 0 if the expression fails at run time.
func (p *Policy) Rank(in RankInput) float64 {
	rank, err := evaluate(p.rank, in)
	if err != nil {
		return 0
	}
	return rank
}

// ReserveCPUs returns how many CPUs to keep in the fleet even without demand for them.
func (p *Policy) ReserveCPUs(in FleetInput) units.Amount {
	return units.AmountOf(evaluateNonNegative(p.reserve, in))
}

// IdleTimeout returns how long a machine may be idle before it is scaled in.
func (p *Policy) IdleTimeout(in FleetInput) units.Micros {
	return units.Seconds(evaluateNonNegative(p.idle, in))
}

// SpotPreference returns the factor by which the price of a spot instance is multiplied before it
// is compared with the price of an instance that is not spot.
func (p *Policy) SpotPreference(in FleetInput) float64 { return evaluateNonNegative(p.spot, in) }

// evaluateNonNegative returns the result of a program, or 0 if the result is negative or the
// expression fails at run time.
func evaluateNonNegative(program *vm.Program, in FleetInput) float64 {
	number, err := evaluate(program, in)
	if err != nil || number < 0 {
		return 0
	}
	return number
}
