package ctl

import (
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/pki"
	"github.com/hemlockring/hemlockring/settings"
)

// AuthorityArguments holds the subcommands of "hemlockctl ca".
type AuthorityArguments struct {
	// Init creates the fleet's certificate authority.
	Init *AuthorityInitArguments `arg:"subcommand:init" help:"create the fleet's certificate authority and gossip key"`
	// Issue issues the certificate of an instance.
	Issue *AuthorityIssueArguments `arg:"subcommand:issue" help:"issue the certificate of an instance"`
}

// AuthorityInitArguments holds the arguments of "hemlockctl ca init".
type AuthorityInitArguments struct {
	// Folder is the output folder.
	Folder string `arg:"--folder" default:"tls" help:"output folder for ca.crt, ca.key and gossip.key"`
}

// AuthorityIssueArguments holds the arguments of "hemlockctl ca issue".
type AuthorityIssueArguments struct {
	// Name is the id of the instance.
	Name string `arg:"positional,required" help:"id of the instance"`
	// Addresses are the IP addresses of the instance.
	Addresses []string `arg:"--ip,separate,required" help:"IP address of the instance; may be given several times"`
	// Hosts are the host names under which callers reach the instance.
	Hosts []string `arg:"--host,separate" help:"host name of the instance; may be given several times"`
	// Authority is the folder of the certificate authority.
	Authority string `arg:"--authority" default:"tls" help:"folder that contains ca.crt and ca.key"`
	// Folder is the output folder.
	Folder string `arg:"--folder" default:"tls" help:"output folder for NAME.crt and NAME.key"`
}

// RunAuthority runs "hemlockctl ca": it creates the certificate authority or issues a
// certificate.
func RunAuthority(arguments *AuthorityArguments, out io.Writer) error {
	switch {
	case arguments.Init != nil:
		return initAuthority(arguments.Init, out)
	case arguments.Issue != nil:
		return issueCertificate(arguments.Issue, out)
	}
	return errors.New("no subcommand given; use ca init or ca issue")
}

func initAuthority(arguments *AuthorityInitArguments, out io.Writer) error {
	if err := pki.InitAuthority(arguments.Folder, time.Now()); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "certificate authority created in %s; copy ca.crt and gossip.key to each instance, but never ca.key\n", arguments.Folder)
	return errors.Wrap(err, "write output")
}

func issueCertificate(arguments *AuthorityIssueArguments, out io.Writer) error {
	request := pki.IssueRequest{Name: arguments.Name, HostNames: arguments.Hosts}
	for _, text := range arguments.Addresses {
		address := net.ParseIP(text)
		if address == nil {
			return errors.Newf("--ip: %q is not an IP address; use the form 10.0.0.7", text)
		}
		request.Addresses = append(request.Addresses, address)
	}
	if err := pki.Issue(arguments.Authority, arguments.Folder, request, time.Now()); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "wrote %s.crt and %s.key to %s\n", arguments.Name, arguments.Name, arguments.Folder)
	return errors.Wrap(err, "write output")
}

// SettingsArguments holds the subcommands of "hemlockctl settings".
type SettingsArguments struct {
	// Default prints a settings file with the default values.
	Default *struct{} `arg:"subcommand:default" help:"print a commented settings file that contains every key"`
	// Check validates a settings file.
	Check *SettingsCheckArguments `arg:"subcommand:check" help:"validate a settings file"`
}

// SettingsCheckArguments holds the arguments of "hemlockctl settings check".
type SettingsCheckArguments struct {
	// File is the path of the settings file.
	File string `arg:"positional,required" help:"settings file of hemlockd"`
}

// RunSettings runs "hemlockctl settings": it prints a default settings file or validates
// one.
func RunSettings(arguments *SettingsArguments, out io.Writer) error {
	switch {
	case arguments.Default != nil:
		_, err := io.WriteString(out, settings.DefaultFile())
		return errors.Wrap(err, "write output")
	case arguments.Check != nil:
		if _, err := os.Stat(arguments.Check.File); err != nil {
			return errors.Wrap(err, "settings file cannot be read; check the path")
		}
		_, err := settings.Load(arguments.Check.File)
		return err
	}
	return errors.New("no subcommand given; use settings default or settings check FILE")
}
