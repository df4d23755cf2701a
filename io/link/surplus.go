package link

import "net/http"

// Surplus says what a server has sent that belongs to no request that waits for a response.
type Surplus string

const (
	// SurplusResponse is a response to another request, in the place of the expected one. It is skipped.
	SurplusResponse Surplus = "response_to_another_request"
	// SurplusInBody is a response within the body of another one, which counts as broken off there.
	SurplusInBody Surplus = "response_in_a_body"
	// SurplusAfterResponse stands for bytes that arrived after the end of a response. Their connection is closed.
	SurplusAfterResponse Surplus = "bytes_after_a_response"
)

// WithOnSurplus sets a function that is called for bytes that belong to no request, with the ID of their server, and with the
// response if they are a whole head. It must return at once and not call the pool, whose mutex may be
// held, and may not read the response's body.
func WithOnSurplus(onSurplus func(server string, surplus Surplus, response *http.Response)) Option {
	return func(pool *Pool) { pool.onSurplus = onSurplus }
}
