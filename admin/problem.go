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

// resendRemedy is the remedy whenever a change may be sent again as it is.
const resendRemedy = "send the change again with the same change id"

// retryAfterSeconds goes with every 503.
const retryAfterSeconds = "1"

func problem(kind api.ProblemType, status int, detail, remedy string) *api.Problem {
	return &api.Problem{Type: api.TypePrefix + string(kind), Status: status, Detail: detail, Remedy: remedy}
}

func unauthorized() *api.Problem {
	return problem(api.ProblemUnauthorized, http.StatusUnauthorized, "the request shows no known operator's token",
		"send Authorization: Bearer TOKEN; the token's hash must be in the settings of the control instances")
}

func forbidden(operator *Operator, role Role) *api.Problem {
	return problem(api.ProblemForbidden, http.StatusForbidden,
		fmt.Sprintf("operator %s has the role %s, and this needs %s", operator.Name, operator.Role, role),
		"ask an operator with that role")
}

func notFound(path string) *api.Problem {
	return problem(api.ProblemNotFound, http.StatusNotFound, fmt.Sprintf("there is no %.200q", path),
		"mend the path; list the resources one level up")
}

func badRequest(err error) *api.Problem {
	return problem(api.ProblemBadRequest, http.StatusBadRequest, "the body can't be read: "+err.Error(),
		"send JSON with change_id, base_version and changes; the change was not made")
}

// changeProblem returns the problem for a change that was not accepted. Whatever
// does not prove that the change was not made has an unknown outcome.
func changeProblem(err error) *api.Problem {
	var conflict *fleetconfig.ConflictError
	var invalid *fleetconfig.InvalidError
	var reused *fleetconfig.ReusedIDError
	var notLeader *control.NotLeaderError
	var busy *control.BusyError
	switch {
	case errors.As(err, &conflict):
		p := problem(api.ProblemConflict, http.StatusConflict,
			fmt.Sprintf("the change was made from version %d, but version %d was in force; it was not made", conflict.Base, conflict.Current),
			"read the version in force, make the change from it and send it with a new change id")
		p.CurrentVersion = conflict.Current
		return p
	case errors.As(err, &invalid):
		p := problem(api.ProblemInvalid, http.StatusUnprocessableEntity, "the change breaks the rules and was not made",
			"mend all faults and send the change with a new change id")
		p.Faults = invalid.Faults
		return p
	case errors.As(err, &reused):
		return problem(api.ProblemReusedID, http.StatusConflict, "the change id was used for another change; this one was not made",
			"send it with a new change id")
	case errors.As(err, &notLeader), errors.As(err, &busy):
		return problem(api.ProblemNotMade, http.StatusServiceUnavailable, err.Error(), resendRemedy)
	}
	return problem(api.ProblemOutcomeUnknown, http.StatusServiceUnavailable,
		"the change may have been made or may still be: "+err.Error(), resendRemedy+" to learn its outcome")
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
