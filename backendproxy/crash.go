package backendproxy

import (
	"context"
	"encoding/base64"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/clock"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/internal/codec"
	"github.com/hemlockring/hemlockring/internal/linelimit"
	"github.com/hemlockring/hemlockring/pipeline"
	"github.com/hemlockring/hemlockring/quarantine"
)

const (
	// crashProbeTimeout bounds the connection attempt that shows whether a backend server
	// still listens. A local connection is established or refused within a millisecond.
	crashProbeTimeout = 200 * time.Millisecond
	// maxCrashLinesPerSecond bounds the log messages about crashes.
	maxCrashLinesPerSecond = 10
)

// Quarantine decides which requests are refused because they crash backend servers.
// Implementations must be safe for concurrent use.
type Quarantine interface {
	// AnyQuarantined reports whether any request is quarantined.
	AnyQuarantined() bool
	// MayBeQuarantined reports whether a request may be quarantined as far as its head tells.
	MayBeQuarantined(head quarantine.HeadFingerprint) bool
	// Refuses reports whether a request is refused, and if so the time after which it may be
	// sent again.
	Refuses(fingerprint quarantine.Fingerprint) (retryAfter time.Duration, refused bool)
	// Complete records that a backend server ran a request to its end.
	Complete(fingerprint quarantine.Fingerprint)
	// WitnessCrash records a crash of a backend server with the requests that were under way
	// in it and the number of others whose fingerprints are not known. It returns what is
	// known now about those that may have caused the crash.
	WitnessCrash(id quarantine.CrashID, underWay []quarantine.Request, others int) []quarantine.Entry
}

// crashDetector tracks the requests that are under way in the backend servers, and finds out
// whether a server has crashed when a connection to it breaks: then nothing listens at its
// address any more. A server that resets connections or does not respond has not crashed.
type crashDetector struct {
	registry    *Registry
	quarantine  Quarantine
	log         *slog.Logger
	lineLimiter *linelimit.Limiter

	mu sync.Mutex
	// processes holds the processes of servers with requests under way, by the admission
	// queue that each process has of its own.
	processes map[*admissionQueue]*serverProcess
}

// serverProcess is one process of a backend server. The detector's mu guards its fields.
type serverProcess struct {
	id        fleetconfig.BackendServerID
	admission *admissionQueue
	address   string
	underWay  map[*serverRun]bool
	// probe is the last connection attempt, or nil.
	probe *crashProbe
}

// serverRun is one request that is under way in a backend server.
type serverRun struct {
	detector *crashDetector
	process  *serverProcess
	exchange *pipeline.Exchange
}

// crashProbe is an attempt to connect to a server whose connections broke. The fields below
// done may be read once done is closed.
type crashProbe struct {
	done    chan struct{}
	crashed bool
	crash   quarantine.CrashID
	// underWay is how many requests were under way.
	underWay int
	evidence map[quarantine.Fingerprint]quarantine.Entry
}

func newCrashDetector(config *Config) *crashDetector {
	return &crashDetector{
		registry:    config.Registry,
		quarantine:  config.Quarantine,
		log:         config.Logger,
		lineLimiter: linelimit.New(maxCrashLinesPerSecond),
		processes:   make(map[*admissionQueue]*serverProcess),
	}
}

// begin records that a request is about to be sent to the server of a slot. The run must be
// ended.
func (d *crashDetector) begin(exchange *pipeline.Exchange, slot *Slot) *serverRun {
	d.mu.Lock()
	defer d.mu.Unlock()
	process := d.processes[slot.admission]
	if process == nil {
		process = &serverProcess{id: exchange.BackendServer, admission: slot.admission, address: slot.Address, underWay: make(map[*serverRun]bool)}
		d.processes[slot.admission] = process
	}
	run := &serverRun{detector: d, process: process, exchange: exchange}
	process.underWay[run] = true
	return run
}

// end records that the request is no longer under way.
func (r *serverRun) end() {
	r.detector.mu.Lock()
	defer r.detector.mu.Unlock()
	delete(r.process.underWay, r)
	if len(r.process.underWay) == 0 {
		delete(r.detector.processes, r.process.admission)
	}
}

// complete records that the server has run the request and sent its whole response.
func (r *serverRun) complete() {
	if fingerprint, known := r.exchange.Fingerprint(); known {
		r.detector.quarantine.Complete(fingerprint)
	}
}

// serverCrashed reports whether the connection of the request broke because the server has
// crashed. If so, it returns what is known about the request, or nil if it is known not to be
// the cause.
func (r *serverRun) serverCrashed() (evidence *quarantine.Entry, crashed bool) {
	probe := r.detector.probe(r.process)
	<-probe.done
	if !probe.crashed {
		return nil, false
	}
	if _, known := r.exchange.Fingerprint(); !known {
		return r.implicateLate(probe), true
	}
	fingerprint, _ := r.exchange.Fingerprint()
	if entry, implicated := probe.evidence[fingerprint]; implicated {
		return &entry, true
	}
	return nil, true
}

// implicateLate reads the rest of the request's body, without which the request has no
// fingerprint, and records it as under way in the crash.
func (r *serverRun) implicateLate(probe *crashProbe) *quarantine.Entry {
	if body := stateOf(r.exchange).body; body != nil {
		if err := body.readRest(r.exchange.Deadline); err != nil && !errors.Is(err, io.EOF) {
			r.detector.logLine("body of a request under way in a crash not read to its end", "request", r.exchange.RequestID, "error", err)
		}
	}
	request, known := requestOf(r.exchange)
	if !known {
		return nil
	}
	for _, entry := range r.detector.quarantine.WitnessCrash(probe.crash, []quarantine.Request{request}, probe.underWay-1) {
		return &entry
	}
	return nil
}

func requestOf(exchange *pipeline.Exchange) (quarantine.Request, bool) {
	fingerprint, known := exchange.Fingerprint()
	return quarantine.Request{Fingerprint: fingerprint, Account: exchange.Account, Service: exchange.Service}, known
}

// probe returns the running probe of a process, the last one if it found a crash, or a new
// one.
func (d *crashDetector) probe(process *serverProcess) *crashProbe {
	d.mu.Lock()
	defer d.mu.Unlock()
	if last := process.probe; last != nil {
		select {
		case <-last.done:
			if last.crashed {
				return last
			}
		default:
			return last
		}
	}
	probe := &crashProbe{done: make(chan struct{})}
	process.probe = probe
	go d.run(process, probe)
	return probe
}

func (d *crashDetector) run(process *serverProcess, probe *crashProbe) {
	defer close(probe.done)
	if !refusesConnections(process.address) || !d.registry.markCrashed(process.id, process.admission, clock.Now()) {
		return
	}
	probe.crashed = true
	probe.crash = quarantine.CrashID(rand.Uint64())
	requests, others := d.underWay(process)
	probe.underWay = len(requests) + others
	probe.evidence = make(map[quarantine.Fingerprint]quarantine.Entry)
	for _, entry := range d.quarantine.WitnessCrash(probe.crash, requests, others) {
		probe.evidence[entry.Fingerprint] = entry
	}
	d.logCrash(process.id, requests, others, len(probe.evidence))
}

// underWay returns the requests that are under way in a process, and the number of those
// without a fingerprint.
func (d *crashDetector) underWay(process *serverProcess) (requests []quarantine.Request, others int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for run := range process.underWay {
		if request, known := requestOf(run.exchange); known {
			requests = append(requests, request)
		} else {
			others++
		}
	}
	return requests, others
}

func refusesConnections(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func (d *crashDetector) logCrash(server fleetconfig.BackendServerID, requests []quarantine.Request, others, implicated int) {
	var fingerprints []string
	for _, request := range requests {
		fingerprints = append(fingerprints, request.Fingerprint.String())
	}
	d.logLine("backend server crashed", "backend_server", string(server),
		"under_way", fingerprints, "under_way_unknown", others, "implicated", implicated)
}

func (d *crashDetector) logLine(message string, attributes ...any) {
	if d.log == nil {
		return
	}
	permitted, omitted := d.lineLimiter.Allow(clock.Now())
	if omitted > 0 {
		d.log.Info("crash lines omitted", "lines", omitted)
	}
	if permitted {
		d.log.Warn(message, attributes...)
	}
}

// FormatEvidence encodes an entry as a value of pipeline.HeaderCrash.
func FormatEvidence(entry *quarantine.Entry) (string, error) {
	data, err := codec.Marshal(entry)
	return base64.RawStdEncoding.EncodeToString(data), err
}

// ParseEvidence decodes a value of pipeline.HeaderCrash.
func ParseEvidence(text string) (*quarantine.Entry, error) {
	data, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return nil, errors.Wrap(err, "decode the evidence of a crash")
	}
	entry := &quarantine.Entry{}
	return entry, codec.Unmarshal(data, entry)
}
