package gate

import (
	"net/http"

	"lentilproxy/core/notice"
	"lentilproxy/io/engine"
)

// recordNotices records what a server has said of itself in a response.
func (gate *Gate) recordNotices(server string, response *http.Response) {
	if response.Header.Get(engine.LeavingHeader) == "1" {
		gate.node.ServerLeaving(server)
	}
	if response.StatusCode != http.StatusServiceUnavailable {
		return
	}
	if pause := notice.ParsePause(response.Header.Get("Retry-After")); pause > 0 {
		gate.node.ServerPaused(server, pause)
	}
}
