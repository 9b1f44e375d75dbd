package testbed

import (
	"fmt"
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

// Ports of each instance. All instances use the same ports; each has a loopback
// address of its own.
const (
	fleetPort  = 7400
	listenPort = 7500
	localPort  = 7401
	adminPort  = 7402
	callerPort = 8080

	folderMode    = 0o700
	fileMode      = 0o600
	operatorsFile = "operators"
	// OperatorToken is the token of the layout's only operator.
	OperatorToken = "testbed-operator-token"
	// firstHostByte is the last byte of the address of the first instance.
	firstHostByte = 10
	// testReportInterval is the report interval in tests. It is shorter than in
	// production, so that a test does not wait long for the summaries.
	testReportInterval = time.Second
)

// InstanceSpec describes an instance of a layout.
type InstanceSpec struct {
	// ID is the id of the instance.
	ID fleetconfig.InstanceID
	// FailureDomain is its failure domain.
	FailureDomain fleetconfig.FailureDomain
	// Control gives the instance the control role.
	Control bool
	// ControlOnly gives the instance the control role but not the proxy role.
	ControlOnly bool
}

// Instance is an instance of a layout.
type Instance struct {
	InstanceSpec
	// SettingsFile is the path of its settings file.
	SettingsFile string
	// DataFolder is the path of its data folder.
	DataFolder string
	// FleetAddress, ListenAddress, LocalAddress, AdminAddress and CallerAddress are its
	// addresses. ListenAddress differs from FleetAddress only in a relayed layout, in
	// which the Relay listens on FleetAddress.
	FleetAddress, ListenAddress, LocalAddress, AdminAddress, CallerAddress string
}

// Layout holds the files of a fleet in one folder.
type Layout struct {
	// Folder is the path of the folder.
	Folder string
	// TLSFolder is the path of the folder with the certificate authority and the
	// certificates.
	TLSFolder string
	// Instances holds the instances in the order of their specs.
	Instances []Instance

	relayed bool
	// reportInterval is the interval at which instances send summaries.
	reportInterval time.Duration
}

// Specs returns the specs of n instances named i1, i2, …, spread over the failure
// domains. The first instances, as many as controls, have the control role in addition to
// the proxy role.
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

// SpecsWithDedicatedControl returns the specs of control instances without the proxy role,
// followed by proxies without the control role.
func SpecsWithDedicatedControl(controls, proxies, domains int) []InstanceSpec {
	specs := Specs(controls+proxies, controls, domains)
	for i := range controls {
		specs[i].ControlOnly = true
	}
	return specs
}

// Create writes the files of a fleet to folder. The instances get addresses in a loopback
// network that no other fleet on this machine uses.
func Create(folder string, specs []InstanceSpec) (*Layout, error) {
	return create(&Layout{Folder: folder, reportInterval: testReportInterval}, specs)
}

// CreateProduction is like Create, with the report interval of a fleet in production.
func CreateProduction(folder string, specs []InstanceSpec) (*Layout, error) {
	return create(&Layout{Folder: folder, reportInterval: report.DefaultInterval}, specs)
}

// CreateRelayed is like Create, for a fleet whose datagrams pass through a Relay.
func CreateRelayed(folder string, specs []InstanceSpec) (*Layout, error) {
	return create(&Layout{Folder: folder, relayed: true, reportInterval: testReportInterval}, specs)
}

func create(layout *Layout, specs []InstanceSpec) (*Layout, error) {
	layout.TLSFolder = filepath.Join(layout.Folder, "tls")
	if err := pki.InitAuthority(layout.TLSFolder, time.Now()); err != nil {
		return nil, err
	}
	network, err := claimNetwork(randomNetwork)
	if err != nil {
		return nil, err
	}
	for i, spec := range specs {
		host := fmt.Sprintf("%s.%d", network, firstHostByte+i)
		if err := layout.addInstance(spec, host); err != nil {
			return nil, err
		}
	}
	operator := admin.OperatorLine("testbed", admin.RoleAdministrator, OperatorToken)
	if err := os.WriteFile(filepath.Join(layout.Folder, operatorsFile), []byte(operator), fileMode); err != nil {
		return nil, errors.Wrap(err, "write the operators file")
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
	return errors.Wrap(os.MkdirAll(folder, folderMode), "create the data folder")
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
	return errors.Wrap(os.WriteFile(instance.SettingsFile, []byte(text.String()), fileMode), "write the settings file")
}

// joinAddresses returns the fleet addresses of the first instances, which new instances
// join through.
func (l *Layout) joinAddresses() string {
	const seedInstances = 3
	var addresses []string
	for _, instance := range l.Instances[:min(seedInstances, len(l.Instances))] {
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
