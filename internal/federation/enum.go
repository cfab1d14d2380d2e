package federation

import "fmt"

// enumName returns names[value]. For a value without a name it returns the type name followed
// by the number.
func enumName(names []string, typeName string, value uint8) string {
	if int(value) < len(names) && names[value] != "" {
		return names[value]
	}
	return fmt.Sprintf("%s %d", typeName, value)
}
