package admin

import (
	"context"
	"net/http"
	"time"

	"github.com/hemlockring/hemlockring/admin/api"
	"github.com/hemlockring/hemlockring/configsync"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/strictjson"
)

// Limits of the API.
const (
	// maxBodyBytes is the size limit for the body of a request.
	maxBodyBytes = 32 << 20
	// proposeTimeout is the timeout for a write. After it the outcome is unknown.
	proposeTimeout = 15 * time.Second
	// watchTimeout is how long a watch waits for a new version before it returns the
	// status unchanged.
	watchTimeout = 30 * time.Second
)

// Configuration gives access to the configuration on this instance.
// configsync.Service implements it.
type Configuration interface {
	// View returns the accepted configuration.
	View() *fleetconfig.View
	// Current reports whether the view is current, so that it may be used for requests
	// with API keys, and if not, when a caller may retry.
	Current(now time.Time) (current bool, retryAfter time.Duration)
	// Changed returns a channel that is closed once View returns another version.
	Changed() <-chan struct{}
}

// History gives access to the history of changes. configsync.Replica implements it.
type History interface {
	// History returns the latest accepted commands, oldest first.
	History() []fleetconfig.HistoryEntry
}

// Config has the dependencies of the API.
type Config struct {
	// Configuration is used for reading.
	Configuration Configuration
	// Proposer proposes changes. It is a configsync.Forwarder.
	Proposer configsync.Proposer
	History  History
	// Operators are the users of the API.
	Operators []Operator
	// Resources are additional resources.
	Resources []Resource
}

// Resource is an additional resource of the API.
type Resource struct {
	// Pattern is the method and path, as a pattern of http.ServeMux.
	Pattern string
	// Role is the role that is required to use the resource.
	Role Role
	// Handler serves requests of operators with that role.
	Handler http.HandlerFunc
}

// server serves the API. It has no state of its own and is safe for concurrent use.
type server struct {
	config Config
}

// NewHandler returns the HTTP handler of the API.
func NewHandler(config Config) http.Handler {
	s := &server{config: config}
	mux := http.NewServeMux()
	s.handleRead(mux, "/v1/status", func(*http.Request) (any, bool) { return s.status(), true })
	s.handleRead(mux, "/v1/document", func(*http.Request) (any, bool) { return s.document(), true })
	s.handleRead(mux, "/v1/history", func(*http.Request) (any, bool) { return s.config.History.History(), true })
	s.handleRead(mux, "/v1/keys", func(*http.Request) (any, bool) { return s.keys(), true })
	s.handleRead(mux, "/v1/watch", s.watch)
	handleList(s, mux, "accounts", func(d *fleetconfig.Document) []fleetconfig.Account { return d.Accounts },
		func(a *fleetconfig.Account) string { return string(a.ID) })
	handleList(s, mux, "routes", func(d *fleetconfig.Document) []fleetconfig.Route { return d.Routes },
		func(r *fleetconfig.Route) string { return r.ID })
	handleList(s, mux, "services", func(d *fleetconfig.Document) []fleetconfig.Service { return d.Services },
		func(v *fleetconfig.Service) string { return string(v.Name) })
	handleList(s, mux, "presets", func(d *fleetconfig.Document) []fleetconfig.Preset { return d.Presets },
		func(p *fleetconfig.Preset) string { return p.Name })
	for _, resource := range config.Resources {
		s.handleResource(mux, resource)
	}
	mux.HandleFunc("POST /v1/changes", s.handleChange)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeProblem(w, notFound(r.URL.Path))
	})
	return mux
}

// handleList registers a resource for a list of the document, and resources for its
// items by id.
func handleList[V any](s *server, mux *http.ServeMux, name string, items func(*fleetconfig.Document) []V, id func(*V) string) {
	s.handleRead(mux, "/v1/"+name, func(*http.Request) (any, bool) {
		// An empty list must be [] in JSON, not null.
		return append([]V{}, items(s.document())...), true
	})
	s.handleRead(mux, "/v1/"+name+"/{id}", func(r *http.Request) (any, bool) {
		all := items(s.document())
		for i := range all {
			if id(&all[i]) == r.PathValue("id") {
				return &all[i], true
			}
		}
		return nil, false
	})
}

// handleRead registers a resource that viewers may read. get returns the value of the
// resource, or false if the resource does not exist.
func (s *server) handleRead(mux *http.ServeMux, path string, get func(*http.Request) (any, bool)) {
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) {
		if _, problem := s.authorize(r, RoleViewer); problem != nil {
			writeProblem(w, problem)
			return
		}
		value, found := get(r)
		if !found {
			writeProblem(w, notFound(r.URL.Path))
			return
		}
		writeJSON(w, http.StatusOK, "application/json", value)
	})
}

// handleResource registers an additional resource.
func (s *server) handleResource(mux *http.ServeMux, resource Resource) {
	mux.HandleFunc(resource.Pattern, func(w http.ResponseWriter, r *http.Request) {
		if _, problem := s.authorize(r, resource.Role); problem != nil {
			writeProblem(w, problem)
			return
		}
		resource.Handler(w, r)
	})
}

// authorize returns the operator of the request, or a problem when there is none or
// the role is not sufficient.
func (s *server) authorize(r *http.Request, role Role) (*Operator, *api.Problem) {
	operator := authenticate(s.config.Operators, r)
	if operator == nil {
		return nil, unauthorized()
	}
	if operator.Role < role {
		return nil, forbidden(operator, role)
	}
	return operator, nil
}

func (s *server) document() *fleetconfig.Document { return s.config.Configuration.View().Document() }

func (s *server) status() *api.Status {
	document := s.document()
	current, _ := s.config.Configuration.Current(time.Now())
	return &api.Status{
		Version:       document.Version,
		PresetInForce: document.ActivePreset,
		Current:       current,
		Accounts:      len(document.Accounts),
		Keys:          len(document.Keys),
		Routes:        len(document.Routes),
		Services:      len(document.Services),
		Presets:       len(document.Presets),
		Holders:       len(document.Holders),

		EvacuatedDomains: document.EvacuatedDomains,
	}
}

func (s *server) keys() []api.Key {
	document := s.document()
	keys := make([]api.Key, len(document.Keys))
	for i := range document.Keys {
		key := &document.Keys[i]
		keys[i] = api.Key{ID: key.Hash.ID(), Account: key.Account, Label: key.Label}
	}
	return keys
}

// handleChange proposes a list of changes and waits for the result.
func (s *server) handleChange(w http.ResponseWriter, r *http.Request) {
	operator, problem := s.authorize(r, RoleOperator)
	if problem != nil {
		writeProblem(w, problem)
		return
	}
	request := new(api.ChangeRequest)
	if err := strictjson.ReadKnown(r.Body, maxBodyBytes, request); err != nil {
		writeProblem(w, badRequest(err))
		return
	}
	if role := requiredRole(request.Changes); operator.Role < role {
		writeProblem(w, forbidden(operator, role))
		return
	}
	// The proposal continues when the caller disconnects. The caller learns the
	// result when it sends the request again with the same change id.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), proposeTimeout)
	defer cancel()
	result, err := s.config.Proposer.Propose(ctx, &fleetconfig.Command{
		ChangeID:    request.ChangeID,
		BaseVersion: request.BaseVersion,
		Operator:    operator.Name,
		ProposedAt:  time.Now().UTC(),
		Changes:     request.Changes,
	})
	if err == nil {
		err = result.Err()
	}
	if err != nil {
		writeProblem(w, problemFromError(err))
		return
	}
	writeJSON(w, http.StatusOK, "application/json", &api.ChangeReply{ChangeID: result.ChangeID, Version: result.Version})
}
