package config

import (
	"errors"
	"math"
	"strings"
	"unicode/utf8"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/file"
	"github.com/expr-lang/expr/vm"
)

// policyScanner splits the text of a policy into statements.
type policyScanner struct {
	file  string
	lines []string
	next  int // index of the next unread line
}

// policyStatement is a line "name = expression" with its indented continuation lines.
type policyStatement struct {
	name   string
	source policySource
}

// scan returns the next statement, or nil at the end of the text.
func (s *policyScanner) scan() (*policyStatement, error) {
	for s.next < len(s.lines) && strings.TrimSpace(stripComment(s.lines[s.next])) == "" {
		s.next++
	}
	if s.next == len(s.lines) {
		return nil, nil
	}
	first := s.next
	s.next++
	line := stripComment(s.lines[first])
	name, text, found := strings.Cut(line, "=")
	source := policySource{file: s.file, firstLine: first}
	if !found || isIndented(line) {
		return nil, source.lineStart().errorf("expected: name = expression")
	}
	// The name is replaced by spaces so that columns in errors of the expression compiler count
	// from the start of the line in the file.
	source.text = strings.Repeat(" ", len(name)+len("=")) + text
	for s.next < len(s.lines) && isIndented(s.lines[s.next]) {
		source.text += "\n" + stripComment(s.lines[s.next])
		s.next++
	}
	return &policyStatement{name: strings.TrimSpace(name), source: source}, nil
}

func stripComment(line string) string {
	line, _, _ = strings.Cut(line, "#")
	return strings.TrimRight(line, " \t\r")
}

func isIndented(line string) bool {
	return line != "" && (line[0] == ' ' || line[0] == '\t')
}

// policySource is the expression of a setting with its location in the policy file.
type policySource struct {
	file      string
	firstLine int    // line of the setting's name, zero-based
	text      string // the expression, padded to its column in the first line
}

// lineStart returns the position of the setting's name.
func (s policySource) lineStart() Position {
	return Position{File: s.file, Line: s.firstLine + 1, Column: 1}
}

// expressionStart returns the position of the expression's first character.
func (s policySource) expressionStart() Position {
	return s.position(len(s.text) - len(strings.TrimLeft(s.text, " \t\n")))
}

// position returns the position in the file of an offset in the text, in characters.
func (s policySource) position(offset int) Position {
	before := []rune(s.text)[:min(offset, utf8.RuneCountInString(s.text))]
	at := s.lineStart()
	for _, char := range before {
		at.Column++
		if char == '\n' {
			at.Line, at.Column = at.Line+1, 1
		}
	}
	return at
}

// locate wraps an error in a *PolicyError. The position is that of an error of the expression
// compiler, or else the start of the setting.
func (s policySource) locate(err error) error {
	at := s.lineStart()
	if located, ok := errors.AsType[*file.Error](err); ok {
		at.Line, at.Column = s.firstLine+located.Line, located.Column+1
		return at.errorf("%s", located.Message)
	}
	return &PolicyError{Position: at, Err: err}
}

// compileNumber compiles an expression that yields a number. It also evaluates the expression
// with the values in env, so that errors that show only at run time are reported at load time.
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

// evaluate returns the result of a program. It fails if the result is not a number or is NaN.
func evaluate(program *vm.Program, env any) (float64, error) {
	value, err := expr.Run(program, env)
	if err != nil {
		return 0, err
	}
	number, ok := value.(float64)
	if !ok || math.IsNaN(number) {
		return 0, errNotANumber
	}
	return number, nil
}

var errNotANumber = errors.New("the result is not a number")
