package federation

import "fmt"

// FieldError reports a field of the cells file with an invalid value.
type FieldError struct {
	Field   string // path of the field in the file, such as "cell[1].name"
	Problem string
}

// Error returns the field and the problem on one line.
func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

func fieldErrorf(field, format string, args ...any) error {
	return &FieldError{Field: field, Problem: fmt.Sprintf(format, args...)}
}

func cellField(i int, name string) string { return fmt.Sprintf("cell[%d].%s", i, name) }

func classField(i int, name string) string { return fmt.Sprintf("class[%d].%s", i, name) }

func elementField(field string, i int) string { return fmt.Sprintf("%s[%d]", field, i) }
