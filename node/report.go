package node

import (
	"path/filepath"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/health"
	"github.com/hemlockring/hemlockring/ingress"
	"github.com/hemlockring/hemlockring/metrics"
	"github.com/hemlockring/hemlockring/pipeline"
	"github.com/hemlockring/hemlockring/quarantine"
	"github.com/hemlockring/hemlockring/report"
	"github.com/hemlockring/hemlockring/settings"
	"github.com/hemlockring/hemlockring/storage"
)

// Subfolders of the data folder that hold journals.
const (
	reportFolder = "report"
	ordersFolder = "orders"
)

// buildReport creates the collector and the sender of this instance's summaries and, on
// control instances, the service that stores the summaries of the fleet.
func (n *Node) buildReport() error {
	now := time.Now()
	n.collector = report.NewCollector(n.settings.Instance.ID, uint64(now.UnixMicro()), n.metrics.AccountLabel, now)
	n.reportSender = report.NewSender(n.collector, n.endpoint, n.controlAddresses, n.settings.Limits.ReportInterval, n.logger)
	if !n.settings.Instance.HasRole(settings.RoleControl) {
		return nil
	}
	journal, err := storage.OpenJournal(storage.OSFS{}, filepath.Join(n.settings.Instance.DataFolder, reportFolder))
	if err != nil {
		return err
	}
	n.report, err = report.NewService(journal, n.fleetMux, n.logger)
	return err
}

// controlAddresses returns the fleet addresses of the control instances.
func (n *Node) controlAddresses() []string {
	var addresses []string
	if n.settings.Control.SelfForming() {
		for _, peer := range n.controlInstances() {
			addresses = append(addresses, peer.Address)
		}
		return addresses
	}
	for _, member := range n.settings.Control.Members {
		addresses = append(addresses, member.Address)
	}
	return addresses
}

// recordServerStateChange adds the ejection of a backend server, or its return to
// service, to the report.
func (n *Node) recordServerStateChange(service fleetconfig.ServiceName, server fleetconfig.BackendServerID, from, to health.EjectionState) {
	event := report.Event{
		At:       time.Now(),
		Service:  service,
		Instance: n.settings.Instance.ID,
		Server:   server,
	}
	switch {
	case from == health.StateInService && to == health.StateEjected:
		event.Kind = report.EventEjected
	case to == health.StateInService:
		event.Kind = report.EventReturned
	default:
		return
	}
	n.collector.RecordEvent(event)
}

// recordDetection adds to the report that a backend server was found to be failing.
// detectionTime is the time from when the server became suspect to the detection.
func (n *Node) recordDetection(service fleetconfig.ServiceName, server fleetconfig.BackendServerID, detectionTime time.Duration) {
	n.collector.RecordEvent(report.Event{
		At:            time.Now(),
		Kind:          report.EventDetected,
		Service:       service,
		Instance:      n.settings.Instance.ID,
		Server:        server,
		DetectionTime: detectionTime,
	})
}

// recordQuarantine adds to the report that the fleet refuses a request that crashes backend
// servers.
func (n *Node) recordQuarantine(request quarantine.Request) {
	n.collector.RecordEvent(report.Event{
		At:          time.Now(),
		Kind:        report.EventQuarantined,
		Service:     request.Service,
		Instance:    n.settings.Instance.ID,
		Fingerprint: request.Fingerprint.String(),
		Account:     request.Account,
	})
}

// recorders passes each exchange to the metrics, the report and the request log.
type recorders struct {
	metrics    *metrics.Metrics
	collector  *report.Collector
	requestLog *requestLog
}

var _ ingress.Recorder = recorders{}

// Record implements ingress.Recorder.
func (r recorders) Record(exchange *pipeline.Exchange, elapsed time.Duration) {
	r.metrics.Record(exchange, elapsed)
	r.collector.Record(exchange, elapsed)
	r.requestLog.Record(exchange, elapsed)
}
