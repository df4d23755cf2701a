// Package refuse holds the answers to requests that did not succeed.
package refuse

import (
	"encoding/json"
	"math"
	"strconv"
	"time"
)

// Executed says whether a refused request may have run.
type Executed string

// The values of Executed.
const (
	ExecutedNo      Executed = "no"
	ExecutedUnknown Executed = "unknown"
)

// Code is the stable code of a refusal.
type Code string

// The codes of refusals.
const (
	CodeBadRequest        Code = "bad_request"
	CodeBodyTooLarge      Code = "body_too_large"
	CodeKeyInRequest      Code = "key_in_request"
	CodeKeyMissing        Code = "key_missing"
	CodeKeyUnknown        Code = "key_unknown"
	CodeKeyWithdrawn      Code = "key_withdrawn"
	CodeWrongWorkspace    Code = "wrong_workspace"
	CodeUnknownModel      Code = "unknown_model"
	CodeUnknownRoute      Code = "unknown_route"
	CodeOverRate          Code = "over_rate"
	CodeOverBurst         Code = "over_burst"
	CodeStale             Code = "host_stale"
	CodeStopping          Code = "host_stopping"
	CodeNotConfigured     Code = "not_configured"
	CodeNoCapacity        Code = "no_capacity"
	CodeOverloaded        Code = "overloaded"
	CodeLoadFailed        Code = "load_failed"
	CodeBackendFailed     Code = "backend_failed"
	CodeBackendRefused    Code = "backend_refused"
	CodeWrongModel        Code = "wrong_model_answered"
	CodeTimeout           Code = "timeout"
	CodeCallerGone        Code = "caller_gone"
	CodeCrashSuspect      Code = "crash_suspect"
	CodeIdempotencyKey    Code = "idempotency_key_required"
	CodeIdempotencyReused Code = "idempotency_key_reused"
	CodeOutcomeUnknown    Code = "outcome_unknown"
	CodeLedgerUnavailable Code = "ledger_unavailable"
)

// Refusal is the answer to a request that did not succeed. It is an outcome, not an error of the program.
type Refusal struct {
	status     int
	code       Code
	message    string
	executed   Executed
	retryAfter time.Duration
}

// NotRun returns a refusal of a request of which no byte reached a backend server that could have run it.
func NotRun(status int, code Code, message string) *Refusal {
	return &Refusal{status: status, code: code, message: message, executed: ExecutedNo}
}

// Unknown returns a refusal of a request that may have run.
func Unknown(status int, code Code, message string) *Refusal {
	return &Refusal{status: status, code: code, message: message, executed: ExecutedUnknown}
}

// After sets when it makes sense to try again.
func (refusal *Refusal) After(wait time.Duration) *Refusal {
	refusal.retryAfter = wait
	return refusal
}

// Status returns the HTTP status.
func (refusal *Refusal) Status() int { return refusal.status }

// Code returns the stable code.
func (refusal *Refusal) Code() Code { return refusal.code }

// Message returns what a person is told.
func (refusal *Refusal) Message() string { return refusal.message }

// Executed says whether the request may have run.
func (refusal *Refusal) Executed() Executed { return refusal.executed }

// RetryAfter returns when it makes sense to try again, or 0.
func (refusal *Refusal) RetryAfter() time.Duration { return refusal.retryAfter }

// WholeSeconds returns the content of a Retry-After header for callers that expect whole seconds, or "".
func (refusal *Refusal) WholeSeconds() string {
	if refusal.retryAfter <= 0 {
		return ""
	}
	return strconv.Itoa(int(math.Ceil(refusal.retryAfter.Seconds())))
}

// Seconds returns the content of a Retry-After header for callers that understand fractions, or "".
func (refusal *Refusal) Seconds() string {
	if refusal.retryAfter <= 0 {
		return ""
	}
	return strconv.FormatFloat(refusal.retryAfter.Seconds(), 'f', 3, 64)
}

type body struct {
	Code         Code     `json:"code"`
	Message      string   `json:"message"`
	Executed     Executed `json:"executed"`
	RetryAfterMS int64    `json:"retry_after_ms,omitempty"`
	RequestID    string   `json:"request_id"`
}

type envelope struct {
	Error body `json:"error"`
}

// Encode returns the JSON body of the answer to a request.
func (refusal *Refusal) Encode(requestID string) []byte {
	content, err := json.Marshal(envelope{body{
		Code: refusal.code, Message: refusal.message, Executed: refusal.executed,
		RetryAfterMS: refusal.retryAfter.Milliseconds(), RequestID: requestID,
	}})
	if err != nil {
		panic("a refusal cannot be encoded: " + err.Error())
	}
	return content
}
