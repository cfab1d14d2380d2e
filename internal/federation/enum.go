package federation

import "fmt"

// enumName returns the name of a value, which is an index into names; of one that has none,
// the name of its type and the number.
func enumName(names []string, typeName string, value uint8) string {
	if int(value) < len(names) && names[value] != "" {
		return names[value]
	}
	return fmt.Sprintf("%s %d", typeName, value)
}
