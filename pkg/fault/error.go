// Package fault defines the typed errors that are returned to callers and operators
// and sent between nodes. Each error includes a remedy.
package fault

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Outcome states whether a request was executed, as far as that is known.
type Outcome uint8

const (
	// Unknown means that the request may have run.
	Unknown Outcome = iota
	// Refused means that the request has not run and will not run.
	Refused
	// Ran means that a backend server answered the request.
	Ran
)

// String returns the value of the Outcome header.
func (o Outcome) String() string {
	switch o {
	case Refused:
		return "refused"
	case Ran:
		return "ran"
	default:
		return "unknown"
	}
}

// Kind is a class of errors. It is the last segment of the problem type URN.
type Kind string

// Kinds of errors returned to callers.
const (
	KindBadRequest     Kind = "bad-request"
	KindTooLarge       Kind = "too-large"
	KindHeaderTooLarge Kind = "header-too-large"
	KindHeaderTooSlow  Kind = "header-too-slow"
	KindBodyTooSlow    Kind = "body-too-slow"
	KindUnknownService Kind = "unknown-service"
	KindNoServer       Kind = "no-server"
	KindOverloaded     Kind = "overloaded"
	KindDraining       Kind = "draining"
	KindDeadline       Kind = "deadline"
	KindQuarantined    Kind = "quarantined"
	KindStopped        Kind = "stopped"
	KindUnreachable    Kind = "unreachable"
	KindServerLost     Kind = "server-lost"
	KindCutShort       Kind = "cut-short"
	KindOutcomeUnknown Kind = "outcome-unknown"
	KindStillRunning   Kind = "still-running"
	KindFinished       Kind = "finished"
	KindKeyReused      Kind = "key-reused"
	KindNoOwner        Kind = "no-owner"
	KindConflict       Kind = "conflict"
	KindStoreDown      Kind = "store-down"
	KindNotFound       Kind = "not-found"
	KindWriteUnknown   Kind = "write-unknown"
	KindForbidden      Kind = "forbidden"
	KindInternal       Kind = "internal"
	// KindHandedBack is sent between nodes only.
	KindHandedBack Kind = "handed-back"
	KindExpired    Kind = "expired"
	// KindShed means that the backend server itself refused the request.
	KindShed Kind = "shed"
)

// Error is a typed error with its remedy. Its zero value is an internal error with
// an unknown outcome. All fields are sent between nodes.
type Error struct {
	Kind    Kind    `msgpack:"k"`
	Status  int     `msgpack:"s"`
	Outcome Outcome `msgpack:"o"`
	Detail  string  `msgpack:"d"`
	Remedy  string  `msgpack:"r"`
	// Wait is the time after which the caller may retry. It is not negative; with
	// zero, no Retry-After is sent.
	Wait time.Duration `msgpack:"w"`
}

// New returns an error of the kind with the kind's default status, outcome, remedy
// and wait.
func New(kind Kind, format string, args ...any) *Error {
	e := defaults[kind]
	if e.Kind == "" {
		e = Error{Status: http.StatusInternalServerError, Remedy: "report the request ID to the operators"}
	}
	e.Kind = kind
	e.Detail = fmt.Sprintf(format, args...)
	return &e
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Remedy == "" {
		return string(e.Kind) + ": " + e.Detail
	}
	return string(e.Kind) + ": " + e.Detail + "; " + e.Remedy
}

// WithOutcome returns a copy with another outcome.
func (e *Error) WithOutcome(o Outcome) *Error {
	c := *e
	c.Outcome = o
	return &c
}

// WithWait returns a copy with another time to wait before a retry.
func (e *Error) WithWait(d time.Duration) *Error {
	c := *e
	c.Wait = d
	return &c
}

// WithRemedy returns a copy with another remedy.
func (e *Error) WithRemedy(remedy string) *Error {
	c := *e
	c.Remedy = remedy
	return &c
}

// As returns err as a typed error. Any other error is converted to an internal
// error with an unknown outcome.
func As(err error) *Error {
	// errors.As allocates memory; nearly all errors on the request path are typed.
	if e, ok := err.(*Error); ok {
		return e
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(KindInternal, "%v", err)
}

// Is reports whether err is a typed error of the kind.
func Is(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}

var defaults = map[Kind]Error{
	KindBadRequest:     {Kind: KindBadRequest, Status: http.StatusBadRequest, Outcome: Refused, Remedy: "correct the request"},
	KindTooLarge:       {Kind: KindTooLarge, Status: http.StatusRequestEntityTooLarge, Outcome: Refused, Remedy: "send a smaller body"},
	KindHeaderTooLarge: {Kind: KindHeaderTooLarge, Status: http.StatusRequestHeaderFieldsTooLarge, Outcome: Refused, Remedy: "send fewer or shorter header fields"},
	KindHeaderTooSlow:  {Kind: KindHeaderTooSlow, Status: http.StatusRequestTimeout, Outcome: Refused, Remedy: "send the whole header at once"},
	KindBodyTooSlow:    {Kind: KindBodyTooSlow, Status: http.StatusRequestTimeout, Outcome: Refused, Remedy: "send the body faster"},
	KindUnknownService: {Kind: KindUnknownService, Status: http.StatusNotFound, Outcome: Refused, Remedy: "ask an operator which services exist"},
	KindNoServer:       {Kind: KindNoServer, Status: http.StatusServiceUnavailable, Outcome: Refused, Remedy: "retry later", Wait: time.Second},
	KindOverloaded:     {Kind: KindOverloaded, Status: http.StatusServiceUnavailable, Outcome: Refused, Remedy: "retry after the stated wait", Wait: time.Second},
	KindDraining:       {Kind: KindDraining, Status: http.StatusServiceUnavailable, Outcome: Refused, Remedy: "retry through any node", Wait: time.Second},
	KindDeadline:       {Kind: KindDeadline, Status: http.StatusGatewayTimeout, Outcome: Unknown, Remedy: "send a longer Request-Timeout"},
	KindQuarantined:    {Kind: KindQuarantined, Status: http.StatusServiceUnavailable, Outcome: Refused, Remedy: "do not send this request again; report it to the operators", Wait: 10 * time.Minute},
	KindStopped:        {Kind: KindStopped, Status: http.StatusServiceUnavailable, Outcome: Refused, Remedy: "retry through another node", Wait: time.Second},
	KindUnreachable:    {Kind: KindUnreachable, Status: http.StatusBadGateway, Outcome: Unknown, Remedy: "send an idempotent request again; resend another one only with its Idempotency-Key"},
	KindServerLost:     {Kind: KindServerLost, Status: http.StatusBadGateway, Outcome: Unknown, Remedy: "send an idempotent request again; resend another one only with its Idempotency-Key"},
	KindCutShort:       {Kind: KindCutShort, Status: http.StatusBadGateway, Outcome: Unknown, Remedy: "send an idempotent request again; resend another one only with its Idempotency-Key"},
	KindOutcomeUnknown: {Kind: KindOutcomeUnknown, Status: http.StatusBadGateway, Outcome: Unknown, Remedy: "this key will not be run again; look the order up before using a new key"},
	KindStillRunning:   {Kind: KindStillRunning, Status: http.StatusConflict, Outcome: Unknown, Remedy: "send the same key again after the stated wait", Wait: time.Second},
	KindFinished:       {Kind: KindFinished, Status: http.StatusConflict, Outcome: Ran, Remedy: "the request ran; look its result up"},
	KindKeyReused:      {Kind: KindKeyReused, Status: http.StatusUnprocessableEntity, Outcome: Refused, Remedy: "use a new Idempotency-Key for a different request"},
	KindNoOwner:        {Kind: KindNoOwner, Status: http.StatusServiceUnavailable, Outcome: Refused, Remedy: "send the same key again after the stated wait", Wait: 2 * time.Second},
	KindConflict:       {Kind: KindConflict, Status: http.StatusConflict, Outcome: Refused, Remedy: "read the winning version, then make the change on top of it"},
	KindStoreDown:      {Kind: KindStoreDown, Status: http.StatusServiceUnavailable, Outcome: Refused, Remedy: "nothing was changed; retry when the store is back", Wait: 5 * time.Second},
	KindNotFound:       {Kind: KindNotFound, Status: http.StatusNotFound, Outcome: Refused, Remedy: "check the name"},
	KindWriteUnknown:   {Kind: KindWriteUnknown, Status: http.StatusBadGateway, Outcome: Unknown, Remedy: "the write may have taken effect; read the row back before writing again"},
	KindForbidden:      {Kind: KindForbidden, Status: http.StatusForbidden, Outcome: Refused, Remedy: "use a token whose role allows this"},
	KindHandedBack:     {Kind: KindHandedBack, Status: http.StatusServiceUnavailable, Outcome: Refused, Remedy: "ask another server"},
	KindShed:           {Kind: KindShed, Status: http.StatusServiceUnavailable, Outcome: Refused, Remedy: "retry after the stated wait"},
	KindExpired:        {Kind: KindExpired, Status: http.StatusGone, Outcome: Refused, Remedy: "read the rows again and follow from there"},
	KindInternal:       {Kind: KindInternal, Status: http.StatusInternalServerError, Outcome: Unknown, Remedy: "report the request ID to the operators"},
}
