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

// policyScanner divides a policy's text into statements.
type policyScanner struct {
	file  string
	lines []string
	next  int // index of the line that is read next
}

// policyStatement is a line "name = expression" with the indented lines that continue it.
type policyStatement struct {
	name   string
	source policySource
}

// scan returns the next statement, nil at the end of the text.
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
	// Columns count from the start of the line in the file.
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

// policySource is the expression of a setting and where it stands.
type policySource struct {
	file      string
	firstLine int // from 0
	text      string
}

// lineStart is the position of the setting's name.
func (s policySource) lineStart() Position {
	return Position{File: s.file, Line: s.firstLine + 1, Column: 1}
}

// expressionStart is the position of the expression's first character.
func (s policySource) expressionStart() Position {
	return s.position(len(s.text) - len(strings.TrimLeft(s.text, " \t\n")))
}

// position is the place in the file of an offset in the text, in characters.
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

// locate adds to an error the position that it is about.
func (s policySource) locate(err error) error {
	at := s.lineStart()
	if located, ok := errors.AsType[*file.Error](err); ok {
		at.Line, at.Column = s.firstLine+located.Line, located.Column+1
		return at.errorf("%s", located.Message)
	}
	return &PolicyError{Position: at, Err: err}
}

// compileNumber compiles an expression whose result is a number, and tries it.
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

// evaluate runs a program whose result is a number.
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
