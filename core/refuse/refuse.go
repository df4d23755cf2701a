// Package refuse defines the responses to requests that did not succeed.
package refuse

import (
	"encoding/json"
	"math"
	"strconv"
	"time"
)

// Executed states whether a refused request may have run.
type Executed string

// The values of Executed.
const (
	ExecutedNo      Executed = "no"
	ExecutedUnknown Executed = "unknown"
)

// Code is the stable, machine-readable code of a refusal.
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

// Refusal is the response to a request that did not succeed. It is an outcome, not a program error.
type Refusal struct {
	status     int
	code       Code
	message    string
	executed   Executed
	retryAfter time.Duration
}

// NotRun returns a refusal of a request that no backend server has run or will run. Earlier attempts of the caller at
// the same request may have run.
func NotRun(status int, code Code, message string) *Refusal {
	return &Refusal{status: status, code: code, message: message, executed: ExecutedNo}
}

// MaybeRun returns a refusal of a request that may have run.
func MaybeRun(status int, code Code, message string) *Refusal {
	return &Refusal{status: status, code: code, message: message, executed: ExecutedUnknown}
}

// Merge returns the refusal of a request as a whole after the refusals of its previous attempts and of the last one.
// After an attempt that may have run, it must not state that the request has not run. The previous refusal may be nil.
func Merge(previous, last *Refusal) *Refusal {
	if previous != nil && previous.executed == ExecutedUnknown && last.executed == ExecutedNo {
		return previous
	}
	return last
}

// WithRetryAfter sets the time after which the caller may retry, and returns the refusal.
func (refusal *Refusal) WithRetryAfter(wait time.Duration) *Refusal {
	refusal.retryAfter = wait
	return refusal
}

// Status returns the HTTP status.
func (refusal *Refusal) Status() int { return refusal.status }

// Code returns the stable code.
func (refusal *Refusal) Code() Code { return refusal.code }

// Message returns the human-readable message.
func (refusal *Refusal) Message() string { return refusal.message }

// Executed returns whether the request may have run.
func (refusal *Refusal) Executed() Executed { return refusal.executed }

// RetryAfter returns the time after which the caller may retry, or 0.
func (refusal *Refusal) RetryAfter() time.Duration { return refusal.retryAfter }

// RetryAfterWholeSeconds returns the value of a Retry-After header in whole seconds, rounded up, or "".
func (refusal *Refusal) RetryAfterWholeSeconds() string {
	if refusal.retryAfter <= 0 {
		return ""
	}
	return strconv.Itoa(int(math.Ceil(refusal.retryAfter.Seconds())))
}

// RetryAfterSeconds returns the value of a Retry-After header in fractional seconds, or "". It is for callers that
// accept fractions.
func (refusal *Refusal) RetryAfterSeconds() string {
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

// Encode returns the JSON body of the response.
func (refusal *Refusal) Encode(requestID string) []byte {
	content, err := json.Marshal(envelope{body{
		Code: refusal.code, Message: refusal.message, Executed: refusal.executed,
		RetryAfterMS: refusal.retryAfter.Milliseconds(), RequestID: requestID,
	}})
	if err != nil {
		panic("refuse: cannot encode the refusal: " + err.Error())
	}
	return content
}
