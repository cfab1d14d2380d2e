package standin

// Submission returns, as its user submits it, a job array of small tasks without
// placement constraints, checkpoints or a deadline. expectSeconds is the estimated run time
// of a task. Tests change single fields of the result.
func Submission(id, team, class string, tasks int, expectSeconds float64) map[string]any {
	return map[string]any{
		"uid":       id,
		"queue":     class,
		"crew":      team,
		"shape":     "sweep",
		"urgency":   "normal",
		"bolts":     tasks,
		"vcpus":     1.0,
		"cards":     0.0,
		"memory_gb": 1.0,
		"pattern":   "img",
		"image_gb":  0.5,
		"looms":     nil,
		"yard":      nil,
		"together":  false,
		"apart":     false,
		"borrowed":  true,
		"expect_s":  expectSeconds,
		"mark_s":    0.0,
		"stow_s":    0.0,
		"due_s":     nil,
	}
}
