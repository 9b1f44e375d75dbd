package backendproxy

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/membership"
	"github.com/hemlockring/hemlockring/pipeline"
	"github.com/hemlockring/hemlockring/queue"
	"github.com/hemlockring/hemlockring/throttle"
)

// HeaderLoad is the response header that reports the load of the backend server to the
// ingress.
const HeaderLoad = "Hemlock-Load"

// HeaderServerStatus is the response header that reports the advertised rate and the exit
// of the backend server to the ingress. Without it, the server has stated neither.
const HeaderServerStatus = "Hemlock-Server-Status"

// HeaderKnownRate is the request header in which an ingress reports the rate that the
// backend server last advertised to it.
const HeaderKnownRate = "Hemlock-Known-Rate"

// Values of HeaderServerStatus for a server that is leaving, followed by the start of its
// process, and for one that has not responded since the start of the proxy.
const (
	statusLeaving = "leaving/"
	statusUnknown = "unknown"
	// statusCold follows the rate of a server that is cold.
	statusCold = "/cold"
)

// formatStatus encodes the advertised rate and the exit of the load as a value of
// HeaderServerStatus: "leaving" and the start of the process in Unix milliseconds, or the
// rate in thousandths of a request per second and the wait in milliseconds, with statusCold
// for a cold server.
func (l Load) formatStatus() string {
	switch {
	case l.Leaving:
		return statusLeaving + strconv.FormatInt(l.LeavingProcess, 10)
	case !l.Rate.Known:
		return statusUnknown
	case l.Rate.Limited:
		status := fmt.Sprintf("%d/%d", membership.MilliRateOf(l.Rate.PerSecond), min(l.Rate.Wait, maxReportedWait).Milliseconds())
		if l.Rate.Cold {
			status += statusCold
		}
		return status
	default:
		return ""
	}
}

// parseStatus decodes a value of HeaderServerStatus into the load. It returns false when
// the text is invalid.
func (l *Load) parseStatus(text string) bool {
	switch text {
	case "":
		l.Rate.Known = true
		return true
	case statusUnknown:
		return true
	}
	if start, leaving := strings.CutPrefix(text, statusLeaving); leaving {
		process, err := strconv.ParseInt(start, 10, 64)
		l.Leaving, l.LeavingProcess = err == nil, process
		return err == nil
	}
	const fields = 2
	var rate membership.MilliRate
	var wait uint32
	text, cold := strings.CutSuffix(text, statusCold)
	if n, err := fmt.Sscanf(text, "%d/%d", &rate, &wait); err != nil || n != fields {
		return false
	}
	l.Rate = throttle.State{Known: true, Limited: true, PerSecond: rate.PerSecond(), Wait: time.Duration(wait) * time.Millisecond, Cold: cold}
	return true
}

// KnownRate is a rate that an ingress has learned from a backend server.
type KnownRate struct {
	// PerSecond is the rate in requests per second.
	PerSecond float64
	// Age is the time since the ingress learned it.
	Age time.Duration
}

// String encodes the rate as a value of HeaderKnownRate: thousandths of a request per
// second and the age in milliseconds.
func (k KnownRate) String() string {
	return fmt.Sprintf("%d/%d", membership.MilliRateOf(k.PerSecond), k.Age.Milliseconds())
}

// parseKnownRate decodes a value of HeaderKnownRate. It returns false when the text is
// empty or invalid.
func parseKnownRate(text string) (KnownRate, bool) {
	if text == "" {
		return KnownRate{}, false
	}
	const fields = 2
	var rate membership.MilliRate
	var age uint32
	if n, err := fmt.Sscanf(text, "%d/%d", &rate, &age); err != nil || n != fields {
		return KnownRate{}, false
	}
	return KnownRate{PerSecond: rate.PerSecond(), Age: time.Duration(age) * time.Millisecond}, true
}

// MembershipLoad converts the load to the form that membership load reports carry.
func (l Load) MembershipLoad(server fleetconfig.BackendServerID) membership.ServerLoad {
	return membership.ServerLoad{
		Server:                    server,
		InFlight:                  uint32(max(l.Running+l.Queued, 0)),
		WeightPercent:             uint8(min(max(l.WeightPercent, 0), 100)),
		FailureProbabilityPercent: uint8(min(max(l.FailureProbabilityPercent, 0), 100)),
		RateUnknown:               !l.Rate.Known,
		Limited:                   l.Rate.Limited,
		MilliRate:                 membership.MilliRateOf(l.Rate.PerSecond),
		WaitMillis:                uint32(min(l.Rate.Wait, maxReportedWait).Milliseconds()),
		Leaving:                   l.Leaving,
		LeavingProcess:            l.LeavingProcess,
		Cold:                      l.Rate.Cold,
		NextSlotMillis:            roundedUpMillis(l.Outlook.NextSlot),
		Waiting:                   rankedWork(&l.Outlook),
		Overloaded:                l.Outlook.Overloaded,
		Full:                      l.Outlook.Full,
		SlownessPercent:           uint16(percent * min(l.Slowness, queue.MaxSlowness)),
		SheddingPercent:           uint8(min(max(l.SheddingPercent, 0), 100)),
		NoRepeats:                 l.NoRepeats,
	}
}

// maxReportedWait bounds the wait for a rate limit in a load report.
const maxReportedWait = time.Minute

// maxReportedRanks bounds the urgencies in a load report, summed over its servers, so that the
// report fits in a datagram.
const maxReportedRanks = 16

// loadReporter reports the load and health of the backend server to the ingress, in a
// header of each response.
type loadReporter struct {
	registry *Registry
	monitor  HealthMonitor
	view     func() *fleetconfig.View
}

func (r *loadReporter) setHeader(exchange *pipeline.Exchange) {
	load, known := r.registry.loadOf(exchange.BackendServer)
	if !known {
		return
	}
	now := clock.Now()
	load = r.addHealth(exchange.BackendServer, load, now)
	load.Rate.Wait = r.registry.appointNext(exchange.BackendServer)
	header := exchange.Writer.Header()
	header.Set(HeaderLoad, load.String())
	if status := load.formatStatus(); status != "" {
		header.Set(HeaderServerStatus, status)
	}
}

// addHealth adds the weight and failure probability of the backend server to its load. It
// removes what only admission by room uses if the active preset is without it.
func (r *loadReporter) addHealth(server fleetconfig.BackendServerID, load Load, now time.Time) Load {
	load.WeightPercent = r.monitor.WeightPercent(server, now)
	load.FailureProbabilityPercent = r.monitor.FailureProbabilityPercent(server, now)
	load.SheddingPercent = r.monitor.SheddingPercent(server, now)
	if !r.view().ActivePreset().AdmissionByRoom {
		load.Outlook, load.Slowness, load.NoRepeats = queue.Outlook{}, 0, false
	}
	return load
}

// Loads returns the load and health of the backend servers beside this instance.
func (p *Proxy) Loads() []membership.ServerLoad {
	now := clock.Now()
	var loads []membership.ServerLoad
	all := p.loadReporter.registry.loads()
	for server, load := range all {
		load.Outlook.LimitRanks(max(1, maxReportedRanks/len(all)))
		loads = append(loads, p.loadReporter.addHealth(server, load, now).MembershipLoad(server))
	}
	return loads
}
