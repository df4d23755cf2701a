package gate

import (
	"encoding/json"
	"math"
	"net/http"
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
	CodeNoCapacity        Code = "no_capacity"
	CodeLoadFailed        Code = "load_failed"
	CodeBackendFailed     Code = "backend_failed"
	CodeBackendRefused    Code = "backend_refused"
	CodeWrongModel        Code = "wrong_model_answered"
	CodeTimeout           Code = "timeout"
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

// Code returns the stable code.
func (refusal *Refusal) Code() Code { return refusal.code }

// refuse returns a refusal of a request of which no byte reached a backend server.
func refuse(status int, code Code, message string) *Refusal {
	return &Refusal{status: status, code: code, message: message, executed: ExecutedNo}
}

// unknown returns a refusal of a request that may have run.
func unknown(status int, code Code, message string) *Refusal {
	return &Refusal{status: status, code: code, message: message, executed: ExecutedUnknown}
}

// after sets when it makes sense to try again.
func (refusal *Refusal) after(wait time.Duration) *Refusal {
	refusal.retryAfter = wait
	return refusal
}

type refusalBody struct {
	Code         Code     `json:"code"`
	Message      string   `json:"message"`
	Executed     Executed `json:"executed"`
	RetryAfterMS int64    `json:"retry_after_ms,omitempty"`
	RequestID    string   `json:"request_id"`
}

type refusalEnvelope struct {
	Error refusalBody `json:"error"`
}

func (refusal *Refusal) encode(requestID string) []byte {
	content, err := json.Marshal(refusalEnvelope{refusalBody{
		Code: refusal.code, Message: refusal.message, Executed: refusal.executed,
		RetryAfterMS: refusal.retryAfter.Milliseconds(), RequestID: requestID,
	}})
	if err != nil {
		panic("gate: a refusal cannot fail to encode: " + err.Error())
	}
	return content
}

func (refusal *Refusal) write(writer http.ResponseWriter, requestID string) {
	writer.Header().Set("Content-Type", "application/json")
	if refusal.retryAfter > 0 {
		seconds := int(math.Ceil(refusal.retryAfter.Seconds()))
		writer.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	writer.WriteHeader(refusal.status)
	_, _ = writer.Write(refusal.encode(requestID))
}
