// Package jsonfile reads the settings files of the stand-ins, which are JSON with
// comments and trailing commas (HuJSON).
package jsonfile

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/tailscale/hujson"
)

// Read decodes a file into a value of type T. A key without a field in T is an
// error.
func Read[T any](path string) (T, error) {
	var out T
	text, err := os.ReadFile(path)
	if err != nil {
		return out, err
	}
	plain, err := hujson.Standardize(text)
	if err != nil {
		return out, fmt.Errorf("parse %s: %w", path, err)
	}
	decoder := json.NewDecoder(strings.NewReader(string(plain)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&out); err != nil {
		return out, fmt.Errorf("parse %s: %w", path, err)
	}
	return out, nil
}
