package backendproxy

import (
	"context"
	"net/http"
	"time"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/strictjson"
)

const (
	// maxAnnouncementBytes bounds the body of an announcement.
	maxAnnouncementBytes = 4 << 10
	// registryTickInterval is how often the registry removes expired announcements, applies
	// changed limits, and refuses queued requests that can no longer start or finish in time.
	registryTickInterval = 20 * time.Millisecond
)

// RegisterHandlers registers the handlers for announcements on mux, which serves the
// instance's local address.
func (r *Registry) RegisterHandlers(mux *http.ServeMux) {
	mux.HandleFunc("PUT /v1/servers/{id}", r.handleAnnounce)
	mux.HandleFunc("DELETE /v1/servers/{id}", r.handleLeave)
}

func (r *Registry) handleAnnounce(w http.ResponseWriter, request *http.Request) {
	var announcement Announcement
	if err := strictjson.ReadKnown(request.Body, maxAnnouncementBytes, &announcement); err != nil {
		http.Error(w, "the announcement is not a valid JSON object: "+err.Error(), http.StatusBadRequest)
		return
	}
	id := fleetconfig.BackendServerID(request.PathValue("id"))
	if err := r.Announce(id, announcement, clock.Now()); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	r.acknowledge(w, request, id)
}

// acknowledge replies to an announcement or departure once the exit that follows from it, if
// any, outlives this process.
func (r *Registry) acknowledge(w http.ResponseWriter, request *http.Request, id fleetconfig.BackendServerID) {
	if err := r.ConfirmExit(request.Context(), id); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (r *Registry) handleLeave(w http.ResponseWriter, request *http.Request) {
	id := fleetconfig.BackendServerID(request.PathValue("id"))
	r.Leave(id, clock.Now())
	r.acknowledge(w, request, id)
}

// Serve calls Tick periodically until ctx is done. It implements suture.Service.
func (r *Registry) Serve(ctx context.Context) error {
	ticker := time.NewTicker(registryTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			r.Tick(clock.Now())
		}
	}
}
