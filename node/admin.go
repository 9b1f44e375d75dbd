package node

import (
	"cmp"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/admin"
	"github.com/hemlockring/hemlockring/admin/api"
	"github.com/hemlockring/hemlockring/configsync"
	"github.com/hemlockring/hemlockring/control"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/report"
)

// openAdminPort opens the administration API of a control instance.
func (n *Node) openAdminPort(replica *configsync.Replica) error {
	operators, err := admin.LoadOperators(n.settings.Admin.Operators)
	if err != nil {
		return err
	}
	handler := admin.NewHandler(admin.Config{
		Configuration: n.configSync,
		Proposer:      n.forwarder,
		History:       replica,
		Operators:     operators,
		Resources: []admin.Resource{
			{Pattern: "GET /v1/members", Role: admin.RoleViewer, Handler: n.handleMembers},
			{Pattern: "GET /v1/control", Role: admin.RoleViewer, Handler: n.handleControl},
			{Pattern: "GET /v1/report", Role: admin.RoleViewer, Handler: n.handleReport},
			{Pattern: "POST /v1/control/{member}/{action}", Role: admin.RoleAdministrator, Handler: n.handleControlChange},
		},
	})
	n.adminPort, err = openPort(n.settings.Admin.Address, handler, n.logger)
	if err != nil {
		return err
	}
	certificate := cmp.Or(n.settings.Admin.Certificate, n.settings.Fleet.Certificate)
	key := cmp.Or(n.settings.Admin.Key, n.settings.Fleet.Key)
	return n.adminPort.useTLS(certificate, key)
}

// memberView is a member as operators see it.
type memberView struct {
	Instance      string       `json:"instance"`
	Address       string       `json:"address"`
	FailureDomain string       `json:"failure_domain"`
	Region        string       `json:"region,omitempty"`
	Control       bool         `json:"control"`
	Liveness      string       `json:"liveness"`
	Path          string       `json:"path"`
	Draining      bool         `json:"draining"`
	Left          bool         `json:"left"`
	Servers       []serverView `json:"backend_servers"`
}

// serverView is a backend server as operators see it.
type serverView struct {
	Server   string `json:"backend_server"`
	Service  string `json:"service"`
	Slots    uint32 `json:"slots"`
	Draining bool   `json:"draining"`
	Ejected  bool   `json:"ejected"`
}

// handleMembers shows the members as this instance sees them. A path that is cut
// in one direction is shown as indirect-only.
func (n *Node) handleMembers(w http.ResponseWriter, _ *http.Request) {
	views := []memberView{}
	for _, member := range n.members.Snapshot().Members {
		record := &member.Record
		view := memberView{
			Instance:      string(record.ID),
			Address:       record.Address,
			FailureDomain: string(record.FailureDomain),
			Region:        record.Region,
			Control:       record.Control,
			Liveness:      member.Liveness.String(),
			Path:          member.Path.String(),
			Draining:      record.Draining,
			Left:          record.Left,
			Servers:       []serverView{},
		}
		for _, server := range record.Servers {
			view.Servers = append(view.Servers, serverView{
				Server:   string(server.ID),
				Service:  string(server.Service),
				Slots:    server.Slots,
				Draining: server.State != 0,
				Ejected:  server.Ejected,
			})
		}
		views = append(views, view)
	}
	writeJSON(w, views)
}

// handleControl shows the replicated log as this instance sees it.
func (n *Node) handleControl(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, n.control.Status())
}

// Actions on the members of the replicated log.
const (
	actionAdmitDisk = "admit-disk"
	actionAdd       = "add"
	actionRemove    = "remove"
)

// handleControlChange changes the members of the replicated log, one at a time. It
// works on the leader only; the answer of others names it.
func (n *Node) handleControlChange(w http.ResponseWriter, request *http.Request) {
	member := fleetconfig.InstanceID(request.PathValue("member"))
	var err error
	switch request.PathValue("action") {
	case actionAdmitDisk:
		err = n.control.AdmitDisk(request.Context(), member)
	case actionAdd:
		err = n.control.AddMember(request.Context(), member, request.FormValue("address"))
	case actionRemove:
		err = n.control.RemoveMember(request.Context(), member)
	default:
		err = errors.Newf("the action must be %s, %s or %s", actionAdmitDisk, actionAdd, actionRemove)
	}
	if err != nil {
		writeControlProblem(w, err)
		return
	}
	writeJSON(w, n.control.Status())
}

func writeControlProblem(w http.ResponseWriter, err error) {
	problem := &api.Problem{
		Type:   api.TypePrefix + string(api.ProblemNotMade),
		Status: http.StatusServiceUnavailable,
		Detail: err.Error(),
		Remedy: "look at 'hemlockctl control show', and ask the leader",
	}
	var unknown *control.OutcomeUnknownError
	if errors.As(err, &unknown) {
		problem.Type = api.TypePrefix + string(api.ProblemOutcomeUnknown)
		problem.Remedy = "look at 'hemlockctl control show' whether the members have changed"
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(problem.Status)
	_ = json.NewEncoder(w).Encode(problem)
}

// Formats of the report.
const (
	formatText = "text"
	formatJSON = "json"
	formatHTML = "html"
)

// handleReport serves the report of the last week, or of the span that the
// parameters from and to give (RFC 3339), in the format that the parameter format
// names.
func (n *Node) handleReport(w http.ResponseWriter, request *http.Request) {
	now := time.Now()
	from, to, err := reportPeriod(request, now)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	result := n.report.Report(from, to, now)
	switch cmp.Or(request.FormValue("format"), formatText) {
	case formatJSON:
		w.Header().Set("Content-Type", "application/json")
		err = result.WriteJSON(w)
	case formatHTML:
		w.Header().Set("Content-Type", "text/html; charset=utf-8")
		err = result.WriteHTML(w)
	case formatText:
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		err = result.WriteText(w)
	default:
		http.Error(w, "format must be text, json or html", http.StatusBadRequest)
	}
	if err != nil {
		n.logger.Debug("report not sent", "error", err)
	}
}

// reportPeriod returns the hours that a report is asked for.
func reportPeriod(request *http.Request, now time.Time) (from, to time.Time, err error) {
	to = now.Truncate(time.Hour).Add(time.Hour)
	from = to.Add(-report.Week)
	if text := request.FormValue("from"); text != "" {
		if from, err = time.Parse(time.RFC3339, text); err != nil {
			return from, to, errors.Newf("from must be a time as in 2026-03-01T00:00:00Z, not %q", text)
		}
	}
	if text := request.FormValue("to"); text != "" {
		if to, err = time.Parse(time.RFC3339, text); err != nil {
			return from, to, errors.Newf("to must be a time as in 2026-03-08T00:00:00Z, not %q", text)
		}
	}
	return from, to, nil
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
