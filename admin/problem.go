package admin

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/admin/api"
	"github.com/hemlockring/hemlockring/control"
	"github.com/hemlockring/hemlockring/fleetconfig"
)

// resendRemedy is the remedy when a change can be sent again unchanged.
const resendRemedy = "send the change again with the same change id"

// retryAfterSeconds is the Retry-After header of every 503 response.
const retryAfterSeconds = "1"

func newProblem(kind api.ProblemType, status int, detail, remedy string) *api.Problem {
	return &api.Problem{Type: api.TypePrefix + string(kind), Status: status, Detail: detail, Remedy: remedy}
}

func unauthorized() *api.Problem {
	return newProblem(api.ProblemUnauthorized, http.StatusUnauthorized, "the request has no valid operator token",
		"send the header Authorization: Bearer TOKEN, with a token whose digest is in the operators' file of the control instances")
}

func forbidden(operator *Operator, role Role) *api.Problem {
	return newProblem(api.ProblemForbidden, http.StatusForbidden,
		fmt.Sprintf("operator %s has the role %s, but the request requires %s", operator.Name, operator.Role, role),
		"ask an operator with that role to send it")
}

func notFound(path string) *api.Problem {
	return newProblem(api.ProblemNotFound, http.StatusNotFound, fmt.Sprintf("there is no resource %.200q", path),
		"correct the path; to list the resources, read the path one level up")
}

func badRequest(err error) *api.Problem {
	return newProblem(api.ProblemBadRequest, http.StatusBadRequest, "the body cannot be decoded and the change was not made: "+err.Error(),
		"send JSON with change_id, base_version and changes")
}

// problemFromError returns the problem for a change that was not accepted. Unless the
// error means that the change was certainly not made, the outcome is unknown.
func problemFromError(err error) *api.Problem {
	var conflict *fleetconfig.ConflictError
	var invalid *fleetconfig.InvalidError
	var reused *fleetconfig.ReusedIDError
	var notLeader *control.NotLeaderError
	var busy *control.BusyError
	switch {
	case errors.As(err, &conflict):
		p := newProblem(api.ProblemConflict, http.StatusConflict,
			fmt.Sprintf("the change is based on version %d, but version %d is current; the change was not made", conflict.Base, conflict.Current),
			"read the current version, base the change on it and send it with a new change id")
		p.CurrentVersion = conflict.Current
		return p
	case errors.As(err, &invalid):
		p := newProblem(api.ProblemInvalid, http.StatusUnprocessableEntity, "the change is invalid and was not made",
			"correct all faults and send the change with a new change id")
		p.Faults = invalid.Faults
		return p
	case errors.As(err, &reused):
		return newProblem(api.ProblemReusedID, http.StatusConflict, "the change id was already used for another change; this one was not made",
			"send the change with a new change id")
	case errors.As(err, &notLeader), errors.As(err, &busy):
		return newProblem(api.ProblemNotMade, http.StatusServiceUnavailable, err.Error(), resendRemedy)
	}
	return newProblem(api.ProblemOutcomeUnknown, http.StatusServiceUnavailable,
		"the change may have been made or may still be made: "+err.Error(), resendRemedy+" to learn its outcome")
}

func writeProblem(w http.ResponseWriter, p *api.Problem) {
	if p.Status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	if p.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	writeJSON(w, p.Status, "application/problem+json", p)
}

func writeJSON(w http.ResponseWriter, status int, mediaType string, value any) {
	w.Header().Set("Content-Type", mediaType)
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
