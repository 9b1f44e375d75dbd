package testbed

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/admin"
	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/pki"
	"github.com/hemlockring/hemlockring/report"
)

// Ports of each instance. Instances differ by their loopback address.
const (
	fleetPort  = 7400
	listenPort = 7500
	localPort  = 7401
	adminPort  = 7402
	callerPort = 8080

	folderMode    = 0o700
	fileMode      = 0o600
	operatorsFile = "operators"
	// OperatorToken is the token of the layout's one operator.
	OperatorToken = "testbed-operator-token"
	// firstHost is the last byte of the first instance's address.
	firstHost = 10
	// fastReports lets a test see its summaries soon.
	fastReports = time.Second
)

// InstanceSpec describes an instance to lay out.
type InstanceSpec struct {
	// ID names the instance.
	ID fleetconfig.InstanceID
	// FailureDomain is where it runs.
	FailureDomain fleetconfig.FailureDomain
	// Control gives it the control role.
	Control bool
	// ControlOnly takes the proxy role from it.
	ControlOnly bool
}

// Instance is a laid out instance.
type Instance struct {
	InstanceSpec
	// SettingsFile is its settings file.
	SettingsFile string
	// DataFolder is its data folder.
	DataFolder string
	// FleetAddress, ListenAddress, LocalAddress, AdminAddress and CallerAddress are its addresses. ListenAddress differs from
	// FleetAddress only in a relayed layout.
	FleetAddress, ListenAddress, LocalAddress, AdminAddress, CallerAddress string
}

// Layout is a fleet's files in one folder.
type Layout struct {
	// Folder holds everything.
	Folder string
	// TLSFolder holds the authority and the certificates.
	TLSFolder string
	// Instances are the instances in the order of their specs.
	Instances []Instance

	relayed bool
	// reportInterval is how often instances send summaries.
	reportInterval time.Duration
}

// Specs returns n instances named i1, i2, … spread over the failure domains, the
// first controls of which have the control role.
func Specs(n, controls, domains int) []InstanceSpec {
	specs := make([]InstanceSpec, 0, n)
	for i := range n {
		specs = append(specs, InstanceSpec{
			ID:            fleetconfig.InstanceID(fmt.Sprintf("i%d", i+1)),
			FailureDomain: fleetconfig.FailureDomain(fmt.Sprintf("domain-%c", 'a'+i%domains)),
			Control:       i < controls,
		})
	}
	return specs
}

// SpecsWithDedicatedControl is like Specs with further instances in front that have the control
// role only.
func SpecsWithDedicatedControl(controls, proxies, domains int) []InstanceSpec {
	specs := Specs(controls+proxies, controls, domains)
	for i := range controls {
		specs[i].ControlOnly = true
	}
	return specs
}

// Create writes the files of a fleet to folder. The instances get addresses of a
// random loopback network, so that fleets of several tests do not meet.
func Create(folder string, specs []InstanceSpec) (*Layout, error) {
	return create(&Layout{Folder: folder, reportInterval: fastReports}, specs)
}

// CreateProduction is like Create for a fleet that sends its summaries as seldom
// as one in production.
func CreateProduction(folder string, specs []InstanceSpec) (*Layout, error) {
	return create(&Layout{Folder: folder, reportInterval: report.DefaultInterval}, specs)
}

// CreateRelayed is like Create for a fleet whose datagrams pass a Relay.
func CreateRelayed(folder string, specs []InstanceSpec) (*Layout, error) {
	return create(&Layout{Folder: folder, relayed: true, reportInterval: fastReports}, specs)
}

func create(layout *Layout, specs []InstanceSpec) (*Layout, error) {
	layout.TLSFolder = filepath.Join(layout.Folder, "tls")
	if err := pki.InitAuthority(layout.TLSFolder, time.Now()); err != nil {
		return nil, err
	}
	network := fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250))
	for i, spec := range specs {
		host := fmt.Sprintf("%s.%d", network, firstHost+i)
		if err := layout.addInstance(spec, host); err != nil {
			return nil, err
		}
	}
	operator := admin.OperatorLine("testbed", admin.RoleAdministrator, OperatorToken)
	if err := os.WriteFile(filepath.Join(layout.Folder, operatorsFile), []byte(operator), fileMode); err != nil {
		return nil, errors.Wrap(err, "write the operators")
	}
	for i := range layout.Instances {
		if err := layout.writeSettings(&layout.Instances[i]); err != nil {
			return nil, err
		}
	}
	return layout, nil
}

func (l *Layout) addInstance(spec InstanceSpec, host string) error {
	request := pki.IssueRequest{Name: string(spec.ID), Addresses: []net.IP{net.ParseIP(host)}}
	if err := pki.Issue(l.TLSFolder, l.TLSFolder, request, time.Now()); err != nil {
		return err
	}
	folder := filepath.Join(l.Folder, string(spec.ID))
	listen := fleetPort
	if l.relayed {
		listen = listenPort
	}
	l.Instances = append(l.Instances, Instance{
		InstanceSpec:  spec,
		SettingsFile:  filepath.Join(l.Folder, string(spec.ID)+".ini"),
		DataFolder:    folder,
		FleetAddress:  fmt.Sprintf("%s:%d", host, fleetPort),
		ListenAddress: fmt.Sprintf("%s:%d", host, listen),
		LocalAddress:  fmt.Sprintf("%s:%d", host, localPort),
		AdminAddress:  fmt.Sprintf("%s:%d", host, adminPort),
		CallerAddress: fmt.Sprintf("%s:%d", host, callerPort),
	})
	return errors.Wrap(os.MkdirAll(folder, folderMode), "make the data folder")
}

func (l *Layout) writeSettings(instance *Instance) error {
	var text strings.Builder
	roles := "proxy"
	switch {
	case instance.ControlOnly:
		roles = "control"
	case instance.Control:
		roles = "proxy, control"
	}
	fmt.Fprintf(&text, "[instance]\nid = %s\nfailure_domain = %s\nroles = %s\ndata_folder = %s\n",
		instance.ID, instance.FailureDomain, roles, instance.DataFolder)
	fmt.Fprintf(&text, "[fleet]\naddress = %s\nlisten = %s\njoin = %s\n", instance.FleetAddress, instance.ListenAddress, l.joinAddresses())
	fmt.Fprintf(&text, "certificate = tls/%s.crt\nkey = tls/%s.key\nauthority = tls/ca.crt\ngossip_key = tls/gossip.key\n",
		instance.ID, instance.ID)
	if !instance.ControlOnly {
		fmt.Fprintf(&text, "[callers]\naddress = %s\n", instance.CallerAddress)
	}
	fmt.Fprintf(&text, "[local]\naddress = %s\n", instance.LocalAddress)
	fmt.Fprintf(&text, "[limits]\nreport_interval = %s\n", l.reportInterval)
	fmt.Fprintf(&text, "[control]\nmembers = %s\n", l.controlMembers())
	if instance.Control {
		fmt.Fprintf(&text, "[admin]\naddress = %s\noperators = %s\n", instance.AdminAddress, operatorsFile)
	}
	return errors.Wrap(os.WriteFile(instance.SettingsFile, []byte(text.String()), fileMode), "write the settings")
}

// joinAddresses returns the fleet addresses of the first instances.
func (l *Layout) joinAddresses() string {
	const joined = 3
	var addresses []string
	for _, instance := range l.Instances[:min(joined, len(l.Instances))] {
		addresses = append(addresses, instance.FleetAddress)
	}
	return strings.Join(addresses, ", ")
}

func (l *Layout) controlMembers() string {
	var members []string
	for _, instance := range l.Instances {
		if instance.Control {
			members = append(members, fmt.Sprintf("%s=%s", instance.ID, instance.FleetAddress))
		}
	}
	return strings.Join(members, ", ")
}
