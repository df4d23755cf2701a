package fake

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// unloadingWriter orders the unload of an adapter as soon as the end of a response is written.
type unloadingWriter struct {
	*httptest.ResponseRecorder
	engine *Engine
	end    string
}

// Write implements http.ResponseWriter.
func (writer *unloadingWriter) Write(content []byte) (int, error) {
	if bytes.Contains(content, []byte(writer.end)) {
		post(writer.engine, "/v1/unload_lora_adapter", `{"lora_name":"a"}`, httptest.NewRecorder())
	}
	return writer.ResponseRecorder.Write(content)
}

// WriteString implements io.StringWriter.
func (writer *unloadingWriter) WriteString(content string) (int, error) {
	return writer.Write([]byte(content))
}

func post(engine *Engine, path, body string, writer http.ResponseWriter) {
	engine.ServeHTTP(writer, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
}

// A host that has received the end of a response may have the adapter unloaded before the engine's handler returns. An
// earlier unload is a violation.
func TestCompletionEndsWithItsResponse(t *testing.T) {
	for name, test := range map[string]struct {
		body, end  string
		violations int64
	}{
		"stream":         {`{"model":"a","max_tokens":2,"stream":true}`, "[DONE]", 0},
		"no stream":      {`{"model":"a","max_tokens":2}`, "finish_reason", 0},
		"before the end": {`{"model":"a","max_tokens":2,"stream":true}`, "finish_reason\":\"length", 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			engine := NewEngine(EngineOptions{Slots: 1})
			post(engine, "/v1/load_lora_adapter", `{"lora_name":"a"}`, httptest.NewRecorder())
			writer := &unloadingWriter{ResponseRecorder: httptest.NewRecorder(), engine: engine, end: test.end}
			post(engine, "/v1/completions", test.body, writer)
			is.Equal(writer.Code, http.StatusOK)
			is.Equal(engine.Stats().UnloadsWhileServing, test.violations)
			is.Equal(engine.Stats().Running, 0)
		})
	}
}
