package config

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/parser"

	"dunestand/internal/units"
)

// AdmissionPolicy says how new jobs are admitted while there is more work than room.
type AdmissionPolicy struct {
	// Horizon is for how much time ahead work is admitted; 0: all jobs are.
	Horizon     units.Micros
	TeamShares  []Share
	ClassShares []Share
}

// Share is the weight of a team or class, and where the policy says so.
type Share struct {
	Name   string
	Weight float64
	at     string // file, line and column
}

// admissionSettings are the settings of an AdmissionPolicy. They are worked out once.
var admissionSettings = map[string]func(*AdmissionPolicy, policySource) error{
	"admission_horizon_s":    (*AdmissionPolicy).setHorizon,
	"admission_team_shares":  (*AdmissionPolicy).setTeamShares,
	"admission_class_shares": (*AdmissionPolicy).setClassShares,
}

// Bounds on the horizon, in seconds. A shorter one would be gone between two plans.
const (
	leastHorizonS = 10
	mostHorizonS  = 7 * 24 * 3600
)

func (a *AdmissionPolicy) setHorizon(source policySource) error {
	program, err := source.compileNumber(struct{}{})
	if err != nil {
		return err
	}
	seconds, err := evaluate(program, struct{}{})
	if err != nil {
		return source.locate(err)
	}
	if seconds != 0 && !(seconds >= leastHorizonS && seconds <= mostHorizonS) {
		return fmt.Errorf("%s: %v is neither 0 nor between %d and %d",
			source.place(source.start()), seconds, leastHorizonS, mostHorizonS)
	}
	a.Horizon = units.Seconds(seconds)
	return nil
}

func (a *AdmissionPolicy) setTeamShares(source policySource) (err error) {
	a.TeamShares, err = source.shares()
	return err
}

func (a *AdmissionPolicy) setClassShares(source policySource) (err error) {
	a.ClassShares, err = source.shares()
	return err
}

// start is where the expression begins.
func (s policySource) start() int { return len(s.text) - len(strings.TrimLeft(s.text, " \t\n")) }

// place names the file, line and column of a place in the text, in characters.
func (s policySource) place(offset int) string {
	before := []rune(s.text)[:min(offset, utf8.RuneCountInString(s.text))]
	line, column := s.first+1, 1
	for _, r := range before {
		column++
		if r == '\n' {
			line, column = line+1, 1
		}
	}
	return fmt.Sprintf("%s:%d:%d", s.file, line, column)
}

// shares reads a map of names to weights, such as {"planning": 3, "dyehouse": 1}.
func (s policySource) shares() ([]Share, error) {
	program, err := expr.Compile(s.text, expr.Env(struct{}{}), expr.Optimize(false))
	if err != nil {
		return nil, s.locate(err)
	}
	value, err := expr.Run(program, struct{}{})
	if err != nil {
		return nil, s.locate(err)
	}
	weights, isMap := value.(map[string]any)
	tree, err := parser.Parse(s.text)
	if err != nil {
		return nil, s.locate(err)
	}
	node, isLiteral := tree.Node.(*ast.MapNode)
	if !isMap || !isLiteral {
		return nil, fmt.Errorf(`%s: expected shares by name: {"name": 2, ...}`, s.place(s.start()))
	}
	return s.readShares(node, weights)
}

func (s policySource) readShares(node *ast.MapNode, weights map[string]any) ([]Share, error) {
	var shares []Share
	sum := 0.0
	for _, n := range node.Pairs {
		pair, isPair := n.(*ast.PairNode)
		if !isPair {
			continue
		}
		at := s.place(pair.Key.Location().From)
		key, isText := pair.Key.(*ast.StringNode)
		if !isText || key.Value == "" {
			return nil, fmt.Errorf("%s: expected a name in quotes", at)
		}
		if slices.ContainsFunc(shares, func(other Share) bool { return other.Name == key.Value }) {
			return nil, fmt.Errorf("%s: %q has a share already", at, key.Value)
		}
		weight, isNumber := numberOf(weights[key.Value])
		if !isNumber || math.IsNaN(weight) || math.IsInf(weight, 0) {
			return nil, fmt.Errorf("%s: the share of %q is not a number", at, key.Value)
		}
		if weight < 0 {
			return nil, fmt.Errorf("%s: the share of %q is negative", at, key.Value)
		}
		sum += weight
		shares = append(shares, Share{Name: key.Value, Weight: weight, at: at})
	}
	if len(shares) > 0 && sum == 0 {
		return nil, fmt.Errorf("%s: the shares come to 0 together", s.place(s.start()))
	}
	for _, share := range shares {
		if share.Weight == 0 {
			return nil, fmt.Errorf("%s: the share of %q is 0, which would starve it", share.at, share.Name)
		}
	}
	return shares, nil
}

// numberOf gives the number that an expression has worked out.
func numberOf(value any) (float64, bool) {
	switch n := value.(type) {
	case int:
		return float64(n), true
	case float64:
		return n, true
	}
	return 0, false
}

// Check holds a policy against the settings: shares are for teams and classes that there
// are.
func (p *Policy) Check(f *Fleet) error {
	for _, share := range p.Admission.TeamShares {
		if !slices.ContainsFunc(f.Teams, func(t Team) bool { return t.Name == share.Name }) {
			return fmt.Errorf("%s: %q is no team of the settings", share.at, share.Name)
		}
	}
	for _, share := range p.Admission.ClassShares {
		if !slices.ContainsFunc(f.Objectives, func(o Objective) bool { return o.Class == share.Name }) {
			return fmt.Errorf("%s: %q is no class of the settings' objectives", share.at, share.Name)
		}
	}
	return nil
}
