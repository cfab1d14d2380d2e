package config

import (
	"math"
	"slices"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/parser"

	"dunestand/internal/units"
)

// AdmissionPolicy says how new jobs are admitted under overload. Its zero value admits all.
type AdmissionPolicy struct {
	// Horizon is for how much time ahead work is admitted; 0: all jobs are.
	Horizon units.Micros
	// TeamShares and ClassShares are the weights of fair sharing, in the order of the file;
	// the weights are positive.
	TeamShares  []Share
	ClassShares []Share
}

// Share is the weight of a team or class, and where the policy says so.
type Share struct {
	Name     string
	Weight   float64
	position Position
}

// Bounds on the horizon, in seconds. A shorter one would be gone between two plans.
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
	p.Admission.TeamShares, err = source.shares()
	return err
}

func (p *Policy) parseClassShares(source policySource) (err error) {
	p.Admission.ClassShares, err = source.shares()
	return err
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
		return nil, s.expressionStart().errorf(`expected shares by name: {"name": 2, ...}`)
	}
	return s.readShares(node, weights)
}

// readShares checks the shares of a map whose expressions are in node and whose values are
// in weights.
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
			return nil, share.position.errorf("%q has a share already", share.Name)
		}
		if err := share.setWeight(weights[share.Name]); err != nil {
			return nil, err
		}
		sum += share.Weight
		shares = append(shares, share)
	}
	if len(shares) > 0 && sum == 0 {
		return nil, s.expressionStart().errorf("the shares come to 0 together")
	}
	for _, share := range shares {
		if share.Weight == 0 {
			return nil, share.position.errorf("the share of %q is 0, which would starve it", share.Name)
		}
	}
	return shares, nil
}

// setWeight checks a weight. It may be 0 here, as all shares together have their own error.
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

// asNumber converts the result of an expression.
func asNumber(value any) (number float64, ok bool) {
	switch n := value.(type) {
	case int:
		return float64(n), true
	case float64:
		return n, true
	}
	return 0, false
}

// CheckShares checks a policy against the settings: shares are for teams and classes that
// exist. A mistake is a *PolicyError.
func (p *Policy) CheckShares(f *Fleet) error {
	for _, share := range p.Admission.TeamShares {
		if !slices.ContainsFunc(f.Teams, func(t Team) bool { return t.Name == share.Name }) {
			return share.position.errorf("%q is no team of the settings", share.Name)
		}
	}
	for _, share := range p.Admission.ClassShares {
		if !slices.ContainsFunc(f.Objectives, func(o Objective) bool { return o.Class == share.Name }) {
			return share.position.errorf("%q is no class of the settings' objectives", share.Name)
		}
	}
	return nil
}
