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
	"github.com/hemlockring/hemlockring/membership"
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
			{Pattern: "GET /v1/quarantine", Role: admin.RoleViewer, Handler: n.handleQuarantine},
			{Pattern: "DELETE /v1/quarantine/{fingerprint}", Role: admin.RoleOperator, Handler: n.handleQuarantineRelease},
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

// memberView describes a member of the fleet in the reply to GET /v1/members.
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

// serverView describes a backend server in the reply to GET /v1/members.
type serverView struct {
	Server   string `json:"backend_server"`
	Service  string `json:"service"`
	Slots    uint32 `json:"slots"`
	Draining bool   `json:"draining"`
	Ejected  bool   `json:"ejected"`
	// Leaving says that the server has stated in a response that it is leaving.
	Leaving bool `json:"leaving,omitempty"`
	// AdvertisedRate is the rate that the server advertises, in requests per second, or nil
	// if it advertises none.
	AdvertisedRate *float64 `json:"advertised_rate,omitempty"`
	// ColdRate is the rate that the server, which is cold, is sent at most, in requests per
	// second, or nil if it is not cold.
	ColdRate *float64 `json:"cold_rate,omitempty"`
}

// newServerView returns the description of a backend server.
func newServerView(server *membership.Server) serverView {
	view := serverView{
		Server:   string(server.ID),
		Service:  string(server.Service),
		Slots:    server.Slots,
		Draining: server.State != membership.ServerReady,
		Ejected:  server.Ejected,
		Leaving:  server.Leaving,
	}
	if server.Limited {
		rate := server.MilliRate.PerSecond()
		if server.Cold {
			view.ColdRate = &rate
		} else {
			view.AdvertisedRate = &rate
		}
	}
	return view
}

// handleMembers returns the members as this instance sees them. A path on which
// messages get through in one direction only is reported as indirect-only.
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
		for i := range record.Servers {
			view.Servers = append(view.Servers, newServerView(&record.Servers[i]))
		}
		views = append(views, view)
	}
	writeJSON(w, views)
}

// handleControl returns the status of the replicated log as this instance sees it.
func (n *Node) handleControl(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, n.control.Status())
}

// Values of the path segment {action} of POST /v1/control/{member}/{action}.
const (
	actionAdmitDisk = "admit-disk"
	actionAdd       = "add"
	actionRemove    = "remove"
)

// handleControlChange adds or removes one member of the replicated log, or admits the
// current disk of a member whose former disk was erased or replaced, so that the member
// votes again. Only the leader can do so; the error of any other instance names the
// leader.
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
		Remedy: "check the members with 'hemlockctl control show' and send the change to the leader",
	}
	var unknown *control.OutcomeUnknownError
	if errors.As(err, &unknown) {
		problem.Type = api.TypePrefix + string(api.ProblemOutcomeUnknown)
		problem.Remedy = "check with 'hemlockctl control show' whether the members have changed"
	}
	writeProblem(w, problem)
}

func writeProblem(w http.ResponseWriter, problem *api.Problem) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(problem.Status)
	_ = json.NewEncoder(w).Encode(problem)
}

// Values of the parameter format of GET /v1/report.
const (
	formatText = "text"
	formatJSON = "json"
	formatHTML = "html"
)

// handleReport returns the report of the last seven days, or of the period between the
// parameters from and to (RFC 3339). The parameter format selects text, json or html.
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
		n.logger.Debug("sending the report failed", "error", err)
	}
}

// reportPeriod returns the period of the requested report. The default is the seven days
// (report.Week) up to the end of the current hour.
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
