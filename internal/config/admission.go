package config

import (
	"math"
	"slices"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/parser"

	"dunestand/internal/units"
)

// AdmissionPolicy controls which new jobs are admitted under overload. The zero value admits
// all jobs.
type AdmissionPolicy struct {
	// Horizon limits the unfinished work of a team to what its share of the fleet completes in
	// this time. 0 means no limit: all jobs are admitted.
	Horizon units.Micros
	// TeamShares and ClassShares are the weights for fair sharing, in the order of the file. All
	// weights are positive.
	TeamShares  []Share
	ClassShares []Share
}

// Share is the weight of a team or class.
type Share struct {
	Name     string
	Weight   float64
	position Position // of the name in the policy file
}

// Bounds on the horizon, in seconds. Work admitted for a shorter horizon could be complete before
// the next plan admits more.
const (
	minHorizonS = 10
	maxHorizonS = 7 * 24 * 3600
)

func (p *Policy) parseHorizon(source policySource) error {
	program, err := source.compileNumber(struct{}{})
	if err != nil {
		return err
	}
	seconds, err := evaluate(program, struct{}{})
	if err != nil {
		return source.locate(err)
	}
	if seconds != 0 && !(seconds >= minHorizonS && seconds <= maxHorizonS) {
		return source.expressionStart().errorf("%v is neither 0 nor between %d and %d", seconds, minHorizonS, maxHorizonS)
	}
	p.Admission.Horizon = units.Seconds(seconds)
	return nil
}

func (p *Policy) parseTeamShares(source policySource) (err error) {
	p.Admission.TeamShares, err = source.parseShares()
	return err
}

func (p *Policy) parseClassShares(source policySource) (err error) {
	p.Admission.ClassShares, err = source.parseShares()
	return err
}

// parseShares parses a map literal of names to weights, such as {"planning": 3, "dyehouse": 1}.
func (s policySource) parseShares() ([]Share, error) {
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
		return nil, s.expressionStart().errorf(`expected shares by name: {"name": 2, ...}`)
	}
	return s.readShares(node, weights)
}

// readShares validates the shares of a map literal. The positions are taken from node, the
// syntax tree of the literal, and the values from weights, its result.
func (s policySource) readShares(node *ast.MapNode, weights map[string]any) ([]Share, error) {
	var shares []Share
	sum := 0.0
	for _, child := range node.Pairs {
		pair, isPair := child.(*ast.PairNode)
		if !isPair {
			continue
		}
		share := Share{position: s.position(pair.Key.Location().From)}
		key, isText := pair.Key.(*ast.StringNode)
		if !isText || key.Value == "" {
			return nil, share.position.errorf("expected a name in quotes")
		}
		share.Name = key.Value
		if slices.ContainsFunc(shares, func(other Share) bool { return other.Name == share.Name }) {
			return nil, share.position.errorf("%q already has a share", share.Name)
		}
		if err := share.setWeight(weights[share.Name]); err != nil {
			return nil, err
		}
		sum += share.Weight
		shares = append(shares, share)
	}
	if len(shares) > 0 && sum == 0 {
		return nil, s.expressionStart().errorf("the sum of the shares is 0")
	}
	for _, share := range shares {
		if share.Weight == 0 {
			return nil, share.position.errorf("the share of %q is 0, which would starve its jobs", share.Name)
		}
	}
	return shares, nil
}

// setWeight validates and sets the weight. It accepts 0: the caller rejects weights of 0, with an
// error of its own if all of them are 0.
func (s *Share) setWeight(value any) error {
	weight, isNumber := asNumber(value)
	if !isNumber || math.IsNaN(weight) || math.IsInf(weight, 0) {
		return s.position.errorf("the share of %q is not a number", s.Name)
	}
	if weight < 0 {
		return s.position.errorf("the share of %q is negative", s.Name)
	}
	s.Weight = weight
	return nil
}

// asNumber converts a result of an expression to a number; ok is false for other types.
func asNumber(value any) (number float64, ok bool) {
	switch n := value.(type) {
	case int:
		return float64(n), true
	case float64:
		return n, true
	}
	return 0, false
}

// CheckShares checks a policy against the settings. It returns a *PolicyError if a share names a
// team that the settings lack, or a class without an objective in the settings.
func (p *Policy) CheckShares(f *Fleet) error {
	for _, share := range p.Admission.TeamShares {
		if !slices.ContainsFunc(f.Teams, func(t Team) bool { return t.Name == share.Name }) {
			return share.position.errorf("%q is not a team in the settings", share.Name)
		}
	}
	for _, share := range p.Admission.ClassShares {
		if !slices.ContainsFunc(f.Objectives, func(o Objective) bool { return o.Class == share.Name }) {
			return share.position.errorf("%q is not a class of an objective in the settings", share.Name)
		}
	}
	return nil
}
