package main

import (
	"encoding/json"
	"os"
	"regexp"
	"strings"
)

// placeholder matches a value in the template of the router's settings.
var placeholder = regexp.MustCompile(`\{\{([a-zA-Z.]+)(\|json)?\}\}`)

// renderSettings fills in the deploy file's template as the platform does.
func renderSettings(path string, values map[string]any) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	return placeholder.ReplaceAllStringFunc(string(text), func(match string) string {
		parts := placeholder.FindStringSubmatch(match)
		value := lookUp(values, parts[1])
		if s, ok := value.(string); ok && parts[2] == "" {
			return s
		}
		encoded, _ := json.Marshal(value)
		return string(encoded)
	}), nil
}

func lookUp(values map[string]any, path string) any {
	var value any = values
	for name := range strings.SplitSeq(path, ".") {
		table, ok := value.(map[string]any)
		if !ok {
			return nil
		}
		value = table[name]
	}
	return value
}
