package gate

import (
	"encoding/json"
	"strings"

	"lentilproxy/core/crash"
)

const (
	// maxPromptParts bounds the parts of a prompt that are compared with those of other requests. It is a quarter of what a report on a
	// crash holds.
	maxPromptParts = 4096
	// paragraphSeparator separates the parts of a prompt that is a single text.
	paragraphSeparator = "\n\n"
)

// requestParts returns what other requests may have in common with a request for an adapter version: the adapter, all
// messages, texts or paragraphs of the prompt but the last one, which belongs to the request itself, and its digest.
func requestParts(model, digest string, fields map[string]json.RawMessage) []crash.Part {
	var parts []string
	var list []json.RawMessage
	var text string
	switch {
	case json.Unmarshal(fields["messages"], &list) == nil, json.Unmarshal(fields["prompt"], &list) == nil:
		for _, entry := range list {
			parts = append(parts, string(entry))
		}
	case json.Unmarshal(fields["prompt"], &text) == nil:
		parts = strings.Split(text, paragraphSeparator)
	}
	parts = parts[:max(0, len(parts)-1)]
	return crash.Parts(parts[:min(len(parts), maxPromptParts)], digest, crash.AdapterPart(model, 0))
}
