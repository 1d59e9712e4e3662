package operator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"lentilwood.example/lentilwood/internal/parser"
)

// ProblemContentType is the media type of problem documents.
const ProblemContentType = "application/problem+json"

// ProblemType is the stable name of a kind of error.
type ProblemType string

// The kinds of errors.
const (
	ProblemConflict     ProblemType = "urn:lentilwood:problem:conflict"
	ProblemInvalid      ProblemType = "urn:lentilwood:problem:invalid"
	ProblemUnauthorized ProblemType = "urn:lentilwood:problem:unauthorized"
	ProblemNotFound     ProblemType = "urn:lentilwood:problem:not-found"
	ProblemMethod       ProblemType = "urn:lentilwood:problem:method-not-allowed"
	ProblemTooLarge     ProblemType = "urn:lentilwood:problem:too-large"
	ProblemUnavailable  ProblemType = "urn:lentilwood:problem:unavailable"
	ProblemUnknown      ProblemType = "urn:lentilwood:problem:outcome-unknown"
	ProblemInternal     ProblemType = "urn:lentilwood:problem:internal"
)

// Problem is an error of the API: a problem document of RFC 9457.
type Problem struct {
	Type   ProblemType `json:"type"`
	Title  string      `json:"title"`
	Status int         `json:"status"`
	Detail string      `json:"detail,omitempty"`
	// Conflict is the change that won, where Type is ProblemConflict.
	Conflict *Change `json:"conflict,omitempty"`
	// Findings is what is wrong with the request, where Type is ProblemInvalid.
	Findings []parser.Finding `json:"findings,omitempty"`
}

// Error returns the problem on one line, findings excepted.
func (p *Problem) Error() string {
	text := p.Title
	if p.Detail != "" {
		text += ": " + p.Detail
	}
	if p.Conflict != nil {
		text += fmt.Sprintf("; version %d by %s at %s: %s",
			p.Conflict.Version, p.Conflict.Author, p.Conflict.Changed.Format(timeLayout), p.Conflict.Reason)
	}
	if len(p.Findings) > 0 {
		lines := make([]string, len(p.Findings))
		for i, f := range p.Findings {
			lines[i] = f.String()
		}
		text += ": " + strings.Join(lines, "; ")
	}
	return text
}

const timeLayout = "2006-01-02 15:04:05Z07:00"

// NewConflict says that another change came first.
func NewConflict(winner Change) *Problem {
	return &Problem{
		Type:     ProblemConflict,
		Title:    "The configuration was changed meanwhile",
		Status:   http.StatusConflict,
		Detail:   "read it again before the next try",
		Conflict: &winner,
	}
}

// NewInvalid says what is wrong with a request.
func NewInvalid(findings parser.Findings) *Problem {
	return &Problem{
		Type:     ProblemInvalid,
		Title:    "The request has findings",
		Status:   http.StatusUnprocessableEntity,
		Findings: findings.All(),
	}
}

// NewNotFound says that something does not exist.
func NewNotFound(detail string) *Problem {
	return &Problem{Type: ProblemNotFound, Title: "Not found", Status: http.StatusNotFound, Detail: detail}
}

// NewUnavailable says that nothing was changed because the platform's store
// was not reached.
func NewUnavailable(detail string) *Problem {
	return &Problem{
		Type:   ProblemUnavailable,
		Title:  "Not possible now, nothing was changed",
		Status: http.StatusServiceUnavailable,
		Detail: detail,
	}
}

// NewUnknown says that a change may or may not have taken effect.
func NewUnknown(detail string) *Problem {
	return &Problem{
		Type:   ProblemUnknown,
		Title:  "The change may or may not have taken effect",
		Status: http.StatusGatewayTimeout,
		Detail: detail,
	}
}

func newInternal(err error) *Problem {
	return &Problem{
		Type:   ProblemInternal,
		Title:  "The router failed",
		Status: http.StatusInternalServerError,
		Detail: err.Error(),
	}
}

func newUnauthorized() *Problem {
	return &Problem{
		Type:   ProblemUnauthorized,
		Title:  "No operator has this bearer token",
		Status: http.StatusUnauthorized,
	}
}

// write sends the problem as an answer.
func (p *Problem) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", ProblemContentType)
	w.WriteHeader(p.Status)
	// The connection may be gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(p)
}
