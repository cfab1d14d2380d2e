package wire

import (
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// Patterns for the parts of mesh.fbs.
var (
	schemaEnum  = regexp.MustCompile(`enum (\w+) : ubyte \{([^}]*)\}`)
	schemaTable = regexp.MustCompile(`(?s)table (\w+) \{(.*?)\n\}`)
	schemaField = regexp.MustCompile(`(?m)^\s*(\w+):`)
)

func readFile(t *testing.T, name string) string {
	t.Helper()
	content, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

// goName returns the Go name that the FlatBuffers compiler gives a field: retry_after becomes
// RetryAfter.
func goName(field string) string {
	var name strings.Builder
	for _, part := range strings.Split(field, "_") {
		name.WriteString(strings.ToUpper(part[:1]) + part[1:])
	}
	return name.String()
}

func TestGeneratedEnumMatchesTheSchema(t *testing.T) {
	enum := schemaEnum.FindStringSubmatch(readFile(t, "../mesh.fbs"))
	if enum == nil || enum[1] != "Kind" {
		t.Fatalf("enum Kind not found in the schema: %v", enum)
	}
	entries := strings.Split(enum[2], ",")
	if len(entries) != len(EnumNamesKind) {
		t.Fatalf("%d kinds in the schema, %d generated", len(entries), len(EnumNamesKind))
	}
	for _, entry := range entries {
		name, number, _ := strings.Cut(entry, "=")
		name = strings.TrimSpace(name)
		value, err := strconv.Atoi(strings.TrimSpace(number))
		if err != nil {
			t.Fatal(err)
		}
		if generated, ok := EnumValuesKind[name]; !ok || int(generated) != value || EnumNamesKind[generated] != name {
			t.Errorf("%s = %d in the schema, %d generated", name, value, generated)
		}
	}
}

// The generated code must write and read each field at the slot of its position in the schema.
func TestGeneratedTableMatchesTheSchema(t *testing.T) {
	table := schemaTable.FindStringSubmatch(readFile(t, "../mesh.fbs"))
	if table == nil || table[1] != "Frame" {
		t.Fatalf("table Frame not found in the schema: %v", table)
	}
	fields := schemaField.FindAllStringSubmatch(table[2], -1)
	code := readFile(t, "Frame.go")
	if start := fmt.Sprintf("builder.StartObject(%d)", len(fields)); !strings.Contains(code, start) {
		t.Errorf("generated code has no %s", start)
	}
	for slot, match := range fields {
		name := goName(match[1])
		writer := regexp.MustCompile(fmt.Sprintf(`func FrameAdd%s\([^)]*\) \{\n\tbuilder\.Prepend\w+Slot\(%d,`, name, slot))
		if !writer.MatchString(code) {
			t.Errorf("field %d, %s: no generated writer of this slot", slot, match[1])
		}
		offset := 4 + 2*slot // a vtable begins with its own size and the table's size, two bytes each
		accessor := regexp.MustCompile(fmt.Sprintf(`func \(rcv \*Frame\) %s\([^)]*\) [\w\[\]]+ \{\n\to := flatbuffers\.UOffsetT\(rcv\._tab\.Offset\(%d\)\)`, name, offset))
		if !accessor.MatchString(code) {
			t.Errorf("field %d, %s: no generated reader of this slot", slot, match[1])
		}
	}
}
