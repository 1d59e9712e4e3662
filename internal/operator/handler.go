package operator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"regexp"
	"strconv"

	"lentilwood.example/lentilwood/internal/identifier"
	"lentilwood.example/lentilwood/internal/parser"
)

const (
	// maxRequestBytes bounds the body of a request: a fleet configuration of
	// 14,000 client accounts fits in.
	maxRequestBytes = 32 << 20
	// defaultHistory is how many changes are listed if the request names no
	// number, and maxHistory the most.
	defaultHistory = 50
	maxHistory     = 1000
)

// Backend carries out what operators ask for. Its methods return a *Problem
// for errors that the operator can act on.
type Backend interface {
	ConfigBackend
	StatusBackend
	EvacuationBackend
}

// ConfigBackend reads and changes the configuration.
type ConfigBackend interface {
	Config(ctx context.Context) (Config, error)
	SetConfig(ctx context.Context, author string, r SetConfig) (Change, error)
	AddException(ctx context.Context, author string, r AddException) (Change, error)
	RemoveException(ctx context.Context, author string, r RemoveException) (Change, error)
	Revert(ctx context.Context, author string, r Revert) (Change, error)
	Drain(ctx context.Context, author string, r Drain) (Change, error)
	History(ctx context.Context, limit int) (History, error)
	Versions(ctx context.Context) (Versions, error)
}

// StatusBackend tells how the fleet is.
type StatusBackend interface {
	// Ready returns nil once callers may be sent here, or else the reason why
	// not.
	Ready() error
	WriteMetrics(w io.Writer)
	Status(ctx context.Context) (Status, error)
	Account(ctx context.Context, name string) (AccountStatus, error)
}

// EvacuationBackend empties sites.
type EvacuationBackend interface {
	Evacuations(ctx context.Context) (Evacuations, error)
	Evacuate(ctx context.Context, author string, r Evacuate) (Evacuation, error)
	PauseEvacuation(ctx context.Context, author string, r PauseEvacuation) (Evacuation, error)
}

// Authenticator returns the operator that a request's token belongs to.
type Authenticator interface {
	Identify(header http.Header) (name string, ok bool)
}

var changeIDPattern = regexp.MustCompile(`^[A-Za-z0-9_-]{1,64}$`)

type handler struct {
	backend Backend
	auth    Authenticator
	mux     *http.ServeMux
}

// NewHandler returns the handler of the operators' listener. Probes and
// metrics need no token.
func NewHandler(backend Backend, auth Authenticator) http.Handler {
	h := &handler{backend: backend, auth: auth, mux: http.NewServeMux()}
	h.mux.HandleFunc("GET "+PathHealth, func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "alive") })
	h.mux.HandleFunc("GET "+PathReady, h.ready)
	h.mux.HandleFunc("GET "+PathMetrics, h.metrics)

	h.get(PathConfig, func(r *http.Request) (any, error) { return backend.Config(r.Context()) })
	h.get(PathHistory, h.history)
	h.get(PathVersions, func(r *http.Request) (any, error) { return backend.Versions(r.Context()) })
	h.get(PathStatus, func(r *http.Request) (any, error) { return backend.Status(r.Context()) })
	h.get(PathAccounts+"/{name}", func(r *http.Request) (any, error) {
		return backend.Account(r.Context(), r.PathValue("name"))
	})
	h.get(PathEvacuations, func(r *http.Request) (any, error) { return backend.Evacuations(r.Context()) })

	handleChange(h, "PUT "+PathConfig, backend.SetConfig)
	handleChange(h, "POST "+PathExceptions, backend.AddException)
	handleChange(h, "DELETE "+PathExceptions+"/{id}", func(ctx context.Context, author string, c RemoveException) (Change, error) {
		return backend.RemoveException(ctx, author, c)
	})
	handleChange(h, "POST "+PathRevert, backend.Revert)
	handleChange(h, "POST "+PathDrains, backend.Drain)
	handleChange(h, "POST "+PathEvacuations, backend.Evacuate)
	handleChange(h, "POST "+PathEvacuationPause, backend.PauseEvacuation)
	return h
}

// ServeHTTP answers one request.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, pattern := h.mux.Handler(r)
	if pattern == "" {
		h.unrouted(r).write(w)
		return
	}
	h.mux.ServeHTTP(w, r)
}

// unrouted tells an unknown path from a wrong method.
func (h *handler) unrouted(r *http.Request) *Problem {
	for _, method := range []string{http.MethodGet, http.MethodPut, http.MethodPost, http.MethodDelete} {
		other := r.Clone(r.Context())
		other.Method = method
		if _, pattern := h.mux.Handler(other); pattern != "" {
			return &Problem{
				Type:   ProblemMethod,
				Title:  "Method not allowed",
				Status: http.StatusMethodNotAllowed,
				Detail: r.Method + " " + r.URL.Path,
			}
		}
	}
	return NewNotFound(r.URL.Path)
}

func (h *handler) ready(w http.ResponseWriter, _ *http.Request) {
	if err := h.backend.Ready(); err != nil {
		writeText(w, http.StatusServiceUnavailable, "not ready: "+err.Error())
		return
	}
	writeText(w, http.StatusOK, "ready")
}

func (h *handler) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	h.backend.WriteMetrics(w)
}

func (h *handler) history(r *http.Request) (any, error) {
	limit := defaultHistory
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxHistory {
			var f parser.Findings
			f.Add("limit", "is "+strconv.Quote(text), "a whole number from 1 to "+strconv.Itoa(maxHistory))
			return nil, NewInvalid(f)
		}
		limit = n
	}
	return h.backend.History(r.Context(), limit)
}

func (h *handler) get(path string, read func(r *http.Request) (any, error)) {
	h.mux.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) {
		if _, ok := h.author(w, r); !ok {
			return
		}
		answer, err := read(r)
		reply(w, answer, err)
	})
}

// change is a request that changes something.
type change interface{ precondition() *Precondition }

func (p *Precondition) precondition() *Precondition { return p }

// handleChange routes requests that change something to do.
func handleChange[T, A any](h *handler, pattern string, do func(ctx context.Context, author string, c T) (A, error)) {
	h.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		author, ok := h.author(w, r)
		if !ok {
			return
		}
		c, err := decodeChange[T](w, r)
		if err != nil {
			reply(w, nil, err)
			return
		}
		answer, err := do(r.Context(), author, c)
		reply(w, answer, err)
	})
}

func decodeChange[T any](w http.ResponseWriter, r *http.Request) (T, error) {
	var zero T
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return zero, &Problem{Type: ProblemTooLarge, Title: "The request is too large", Status: http.StatusRequestEntityTooLarge}
	}
	if err != nil {
		return zero, err
	}
	c, findings := parser.Decode[T]("request", body)
	if remove, ok := any(&c).(*RemoveException); ok {
		remove.ID = r.PathValue("id")
	}
	checkChange(any(&c).(change).precondition(), &findings)
	if findings.Len() > 0 {
		return zero, NewInvalid(findings)
	}
	return c, nil
}

func checkChange(p *Precondition, findings *parser.Findings) {
	if p.Reason == "" {
		findings.Add("reason", "is missing", "why the change is made, in a few words")
	}
	if !changeIDPattern.MatchString(p.ChangeID) {
		findings.Add("changeId", "is missing or malformed", "a random id that is unique to the change, up to 64 letters, digits, '-' or '_'")
	}
}

func (h *handler) author(w http.ResponseWriter, r *http.Request) (string, bool) {
	name, ok := h.auth.Identify(r.Header)
	if !ok {
		w.Header().Set(identifier.ChallengeHeader, identifier.Challenge)
		newUnauthorized().write(w)
	}
	return name, ok
}

// reply writes an answer or a problem.
func reply(w http.ResponseWriter, answer any, err error) {
	var problem *Problem
	switch {
	case errors.As(err, &problem):
		problem.write(w)
	case err != nil:
		newInternal(err).write(w)
	default:
		w.Header().Set("Content-Type", "application/json")
		// The connection may be gone; there is nobody left to tell.
		_ = json.NewEncoder(w).Encode(answer)
	}
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text+"\n")
}
