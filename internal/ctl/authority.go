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

// AuthorityArguments is the command line of 'hemlockctl ca'.
type AuthorityArguments struct {
	// Init makes the fleet's authority.
	Init *AuthorityInitArguments `arg:"subcommand:init" help:"make the fleet's certificate authority and gossip key"`
	// Issue makes the certificate of an instance.
	Issue *AuthorityIssueArguments `arg:"subcommand:issue" help:"make the certificate of an instance"`
}

// AuthorityInitArguments is the command line of 'hemlockctl ca init'.
type AuthorityInitArguments struct {
	// Folder receives the files.
	Folder string `arg:"--folder" default:"tls" help:"folder for ca.crt, ca.key and gossip.key"`
}

// AuthorityIssueArguments is the command line of 'hemlockctl ca issue'.
type AuthorityIssueArguments struct {
	// Name is the instance's id.
	Name string `arg:"positional,required" help:"id of the instance"`
	// Addresses are the IP numbers of the instance.
	Addresses []string `arg:"--ip,separate,required" help:"IP number that the instance is reached at; may be given several times"`
	// Hosts are host names that callers use.
	Hosts []string `arg:"--host,separate" help:"host name that callers use; may be given several times"`
	// Authority is the folder of the authority.
	Authority string `arg:"--authority" default:"tls" help:"folder with ca.crt and ca.key"`
	// Folder receives the files.
	Folder string `arg:"--folder" default:"tls" help:"folder for NAME.crt and NAME.key"`
}

// RunAuthority makes certificates.
func RunAuthority(arguments *AuthorityArguments, out io.Writer) error {
	switch {
	case arguments.Init != nil:
		return initAuthority(arguments.Init, out)
	case arguments.Issue != nil:
		return issueCertificate(arguments.Issue, out)
	}
	return errors.New("name a command: ca init or ca issue")
}

func initAuthority(arguments *AuthorityInitArguments, out io.Writer) error {
	if err := pki.InitAuthority(arguments.Folder, time.Now()); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "the authority is in %s; keep ca.key off the instances, and copy ca.crt and gossip.key to each\n", arguments.Folder)
	return errors.Wrap(err, "print")
}

func issueCertificate(arguments *AuthorityIssueArguments, out io.Writer) error {
	request := pki.IssueRequest{Name: arguments.Name, HostNames: arguments.Hosts}
	for _, text := range arguments.Addresses {
		address := net.ParseIP(text)
		if address == nil {
			return errors.Newf("%q is no IP number; write one as in 10.0.0.7", text)
		}
		request.Addresses = append(request.Addresses, address)
	}
	if err := pki.Issue(arguments.Authority, arguments.Folder, request, time.Now()); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "wrote %s.crt and %s.key to %s\n", arguments.Name, arguments.Name, arguments.Folder)
	return errors.Wrap(err, "print")
}

// SettingsArguments is the command line of 'hemlockctl settings'.
type SettingsArguments struct {
	// Default prints a file to start from.
	Default *struct{} `arg:"subcommand:default" help:"print a commented settings file with every key"`
	// Check checks a file.
	Check *SettingsCheckArguments `arg:"subcommand:check" help:"check a settings file"`
}

// SettingsCheckArguments is the command line of 'hemlockctl settings check'.
type SettingsCheckArguments struct {
	// File is the settings file.
	File string `arg:"positional,required" help:"settings file of hemlockd"`
}

// RunSettings prints or checks settings files.
func RunSettings(arguments *SettingsArguments, out io.Writer) error {
	switch {
	case arguments.Default != nil:
		_, err := io.WriteString(out, settings.DefaultFile())
		return errors.Wrap(err, "print")
	case arguments.Check != nil:
		if _, err := os.Stat(arguments.Check.File); err != nil {
			return errors.Wrap(err, "name a settings file")
		}
		_, err := settings.Load(arguments.Check.File)
		return err
	}
	return errors.New("name a command: settings default or settings check FILE")
}
