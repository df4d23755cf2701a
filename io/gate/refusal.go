package gate

import (
	"net/http"

	"lentilproxy/core/refuse"
)

func writeRefusal(writer http.ResponseWriter, refusal *refuse.Refusal, requestID string) {
	writer.Header().Set("Content-Type", "application/json")
	if wait := refusal.RetryAfterWholeSeconds(); wait != "" {
		writer.Header().Set("Retry-After", wait)
	}
	writer.WriteHeader(refusal.Status())
	_, _ = writer.Write(refusal.Encode(requestID))
}
