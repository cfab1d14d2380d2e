package protocol

import (
	"bytes"
	"math"
	"strings"
	"testing"

	_ "dunestand/internal/fake/fixedseed"
)

// validSubmission returns a submission with all fields.
func validSubmission() map[string]any {
	return map[string]any{
		"uid":       "j-000412",
		"queue":     "train",
		"crew":      "vision",
		"shape":     "sweep",
		"urgency":   "high",
		"bolts":     16,
		"vcpus":     8.0,
		"cards":     1.0,
		"memory_gb": 64.0,
		"pattern":   "img-07",
		"image_gb":  6.2,
		"looms":     []string{"g8"},
		"yard":      nil,
		"together":  true,
		"apart":     false,
		"borrowed":  true,
		"expect_s":  240.0,
		"mark_s":    30.0,
		"stow_s":    4.0,
		"due_s":     900.0,
	}
}

func TestValidSubmissionIsParsed(t *testing.T) {
	job, err := ParseSubmission(Encode(validSubmission()))
	if err != nil {
		t.Fatal(err)
	}
	if job.ID != "j-000412" || job.Tasks != 16 || job.Priority != High || job.Request.CPU != 8_000_000 || job.Deadline != 900_000_000 || !job.ZoneAffinity || job.Zone != "" {
		t.Fatalf("%+v", job)
	}
	// Fields that may be null may also be missing, unknown fields are ignored, and integers are
	// accepted for fractional fields.
	s := validSubmission()
	for _, f := range []string{"looms", "yard", "due_s"} {
		delete(s, f)
	}
	s["colour"], s["vcpus"] = "red", 8
	job, err = ParseSubmission(Encode(s))
	if err != nil || job.InstanceTypes != nil || job.Zone != "" || job.Deadline != 0 {
		t.Fatalf("%+v, %v", job, err)
	}
}

func TestInvalidSubmissionsAreRejected(t *testing.T) {
	for field := range validSubmission() {
		if field == "looms" || field == "yard" || field == "due_s" {
			continue
		}
		s := validSubmission()
		s[field] = nil
		if _, err := ParseSubmission(Encode(s)); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("null %s: %v", field, err)
		}
		delete(s, field)
		if _, err := ParseSubmission(Encode(s)); err == nil {
			t.Errorf("missing %s is accepted", field)
		}
	}
	for _, c := range []struct {
		field string
		value any
	}{
		{"uid", "job-1"},
		{"uid", "j-"},
		{"uid", 7},
		{"shape", "ring"},
		{"urgency", "soon"},
		{"bolts", 0},
		{"bolts", 100_001},
		{"bolts", 2.5},
		{"vcpus", -1.0},
		{"vcpus", math.NaN()},
		{"vcpus", math.Inf(1)},
		{"memory_gb", "64"},
		{"looms", []string{}},
		{"looms", []int{1}},
		{"yard", ""},
		{"together", 1},
		{"due_s", -5.0},
		{"due_s", "soon"},
		{"pattern", strings.Repeat("x", 200)},
	} {
		s := validSubmission()
		s[c.field] = c.value
		if job, err := ParseSubmission(Encode(s)); err == nil {
			t.Errorf("%s = %v is accepted: %+v", c.field, c.value, job)
		} else if strings.Contains(err.Error(), "\n") {
			t.Errorf("%s = %v: error %q is not a single line", c.field, c.value, err)
		}
	}
	for name, body := range map[string][]byte{
		"empty":     nil,
		"JSON":      []byte(`{"uid":"j-1"}`),
		"list":      Encode([]int{1}),
		"truncated": Encode(validSubmission())[:40],
		"deep":      append([]byte{0xa1, 0x61, 'x'}, bytes.Repeat([]byte{0x81}, 60000)...),
		"huge map":  {0xbb, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"huge text": {0xa1, 0x7b, 0, 0, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff},
	} {
		if _, err := ParseSubmission(body); err == nil {
			t.Errorf("body %q is accepted", name)
		}
	}
}

func FuzzSubmissions(f *testing.F) {
	f.Add(Encode(validSubmission()))
	f.Fuzz(func(t *testing.T, data []byte) {
		job, err := ParseSubmission(data)
		if err == nil && (!ValidJobID(job.ID) || job.Tasks < 1 || job.Tasks > MaxTasks || job.Request.CPU < 0 || job.Deadline < 0) {
			t.Fatalf("invalid job %+v", job)
		}
	})
}
