package shell

import (
	"encoding/json"
	"fmt"
	"slices"

	"lentilproxy/core/conf"
)

// specFields returns the fields of a resource's specification as text.
func specFields(resource conf.Resource) map[string]string {
	var encoded map[string]json.RawMessage
	if json.Unmarshal([]byte(encode(resource)), &encoded) != nil {
		return nil
	}
	var fields map[string]any
	if json.Unmarshal(encoded[string(resource.Kind)], &fields) != nil {
		return nil
	}
	texts := map[string]string{}
	for name, content := range fields {
		texts[name] = fmt.Sprint(content)
	}
	return texts
}

func sortedKeys(maps ...map[string]string) []string {
	var names []string
	for _, fields := range maps {
		for name := range fields {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func orNone(text string) string {
	if text == "" {
		return "(none)"
	}
	return text
}

// row joins columns with tabs.
func row(columns ...any) string {
	text := ""
	for index, column := range columns {
		if index > 0 {
			text += "\t"
		}
		text += fmt.Sprint(column)
	}
	return text
}
