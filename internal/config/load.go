package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
)

// Load reads and validates a settings file. The text of an error is a single line that names
// the file. An invalid value is reported as a *FieldError; an unreadable file as an error that
// wraps the operating system's, such as fs.ErrNotExist.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		if pathError, ok := errors.AsType[*fs.PathError](err); ok {
			err = pathError.Err
		}
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	settings, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("settings %s: %w", path, err)
	}
	return settings, nil
}

// Parse parses and validates the text of a settings file. An invalid value is reported as a
// *FieldError.
func Parse(raw []byte) (*Settings, error) {
	settings := new(Settings)
	if err := json.Unmarshal(raw, settings); err != nil {
		if typeError, ok := errors.AsType[*json.UnmarshalTypeError](err); ok {
			return nil, fieldErrorf(typeError.Field, "%s is not a valid value", typeError.Value)
		}
		return nil, fmt.Errorf("invalid JSON: %w", err)
	}
	if err := settings.validate(); err != nil {
		return nil, err
	}
	return settings, nil
}
