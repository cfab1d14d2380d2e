package wire

import (
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// schemaLine matches an enum's entries and a table's fields in mesh.fbs.
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

// goName is the name that the compiler gives a field: retry_after becomes RetryAfter.
func goName(field string) string {
	var name strings.Builder
	for _, part := range strings.Split(field, "_") {
		name.WriteString(strings.ToUpper(part[:1]) + part[1:])
	}
	return name.String()
}

func TestEnumIsAsTheSchemaSays(t *testing.T) {
	enum := schemaEnum.FindStringSubmatch(readFile(t, "../mesh.fbs"))
	if enum == nil || enum[1] != "Kind" {
		t.Fatalf("the schema's enum: %v", enum)
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

// Each field has its place in the table by its place in the schema, for writers and readers.
func TestTableIsAsTheSchemaSays(t *testing.T) {
	table := schemaTable.FindStringSubmatch(readFile(t, "../mesh.fbs"))
	if table == nil || table[1] != "Frame" {
		t.Fatalf("the schema's table: %v", table)
	}
	fields := schemaField.FindAllStringSubmatch(table[2], -1)
	code := readFile(t, "Frame.go")
	if start := fmt.Sprintf("builder.StartObject(%d)", len(fields)); !strings.Contains(code, start) {
		t.Errorf("%s is not generated", start)
	}
	for slot, match := range fields {
		name := goName(match[1])
		writer := regexp.MustCompile(fmt.Sprintf(`func FrameAdd%s\([^)]*\) \{\n\tbuilder\.Prepend\w+Slot\(%d,`, name, slot))
		if !writer.MatchString(code) {
			t.Errorf("field %d, %s: no writer of that place is generated", slot, match[1])
		}
		offset := 4 + 2*slot // places of a table's fields begin behind two offsets of its head
		accessor := regexp.MustCompile(fmt.Sprintf(`func \(rcv \*Frame\) %s\([^)]*\) [\w\[\]]+ \{\n\to := flatbuffers\.UOffsetT\(rcv\._tab\.Offset\(%d\)\)`, name, offset))
		if !accessor.MatchString(code) {
			t.Errorf("field %d, %s: no reader of that place is generated", slot, match[1])
		}
	}
}
