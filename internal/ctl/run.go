package ctl

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/admin/api"
	"github.com/hemlockring/hemlockring/admin/client"
	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Run executes a configuration command. It writes results to stdout and messages
// to stderr, and returns the exit code.
func Run(ctx context.Context, connection *Connection, commands *Commands, stdout, stderr io.Writer) int {
	err := run(ctx, connection, commands, stdout, stderr)
	if err != nil && !errors.Is(err, errDiffers) {
		_, _ = fmt.Fprintln(stderr, "hemlockctl: "+err.Error())
	}
	return exitCode(err)
}

func run(ctx context.Context, connection *Connection, commands *Commands, stdout, stderr io.Writer) error {
	apiClient, err := newClient(connection)
	if err != nil {
		return err
	}
	s := &session{connection: connection, client: apiClient, stdout: stdout, stderr: stderr}
	if commands.Watch != nil {
		return s.watch(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, connection.Timeout)
	defer cancel()
	switch {
	case commands.Members != nil:
		return s.members(ctx)
	case commands.Control != nil:
		return s.control(ctx, commands.Control)
	case commands.Report != nil:
		return s.report(ctx, commands.Report)
	case commands.Status != nil:
		return s.status(ctx)
	case commands.History != nil:
		return s.history(ctx)
	case commands.Apply != nil:
		return s.apply(ctx, commands.Apply)
	case commands.Resend != nil:
		return s.resend(ctx, commands.Resend)
	case commands.Diff != nil:
		return s.diff(ctx, commands.Diff)
	case commands.Key != nil:
		return s.key(ctx, commands.Key)
	case commands.Preset != nil:
		return s.preset(ctx, commands.Preset)
	}
	return s.table(ctx, commands)
}

// table runs the commands that list, set and remove items.
func (s *session) table(ctx context.Context, commands *Commands) error {
	switch {
	case commands.Account != nil:
		return s.account(ctx, commands.Account)
	case commands.Route != nil:
		return s.route(ctx, commands.Route)
	case commands.Service != nil:
		return s.service(ctx, commands.Service)
	}
	return &UsageError{Problem: "no command is given; see hemlockctl --help"}
}

func newClient(connection *Connection) (*client.Client, error) {
	if len(connection.Servers) == 0 {
		return nil, &UsageError{Problem: "no server is given; use --server URL or HEMLOCKRING_SERVERS"}
	}
	if connection.TokenFile == "" {
		return nil, &UsageError{Problem: "no token is given; use --token-file FILE or HEMLOCKRING_TOKEN_FILE"}
	}
	token, err := os.ReadFile(connection.TokenFile)
	if err != nil {
		return nil, &UsageError{Problem: fmt.Sprintf("the token can't be read: %v; mend --token-file", err)}
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	if connection.CA != "" {
		pool, err := readCA(connection.CA)
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}
	}
	return &client.Client{
		Servers: connection.Servers,
		Token:   strings.TrimSpace(string(token)),
		HTTP:    &http.Client{Transport: transport},
	}, nil
}

func readCA(file string) (*x509.CertPool, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &UsageError{Problem: fmt.Sprintf("the CA can't be read: %v; mend --ca", err)}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, &UsageError{Problem: fmt.Sprintf("%s has no certificate in PEM; mend --ca", file)}
	}
	return pool, nil
}

// session is one run of hemlockctl.
type session struct {
	connection     *Connection
	client         *client.Client
	stdout, stderr io.Writer
}

func (s *session) printf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(s.stdout, format, arguments...)
}

func (s *session) printJSON(value any) error {
	encoder := json.NewEncoder(s.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// change makes changes from a version.
func (s *session) change(ctx context.Context, base uint64, changes []fleetconfig.Change) error {
	return s.send(ctx, &api.ChangeRequest{ChangeID: client.NewChangeID(), BaseVersion: base, Changes: changes})
}

// send sends a change. If its outcome is unknown it writes the request to a file,
// so that the very same one can be sent again.
func (s *session) send(ctx context.Context, request *api.ChangeRequest) error {
	reply, err := s.client.Change(ctx, request)
	var unknown *client.OutcomeUnknownError
	if errors.As(err, &unknown) {
		return s.keepRequest(request, err)
	}
	if err != nil {
		return err
	}
	if s.connection.JSON {
		return s.printJSON(reply)
	}
	s.printf("version %d is accepted\n", reply.Version)
	return nil
}

// requestFileMode lets only the operator read the file of a request.
const requestFileMode = 0o600

func (s *session) keepRequest(request *api.ChangeRequest, unknown error) error {
	name := "hemlockctl-" + request.ChangeID + ".json"
	data, err := json.Marshal(request)
	if err == nil {
		err = os.WriteFile(name, data, requestFileMode)
	}
	if err != nil {
		return errors.WithSecondaryError(unknown, err)
	}
	return errors.Wrapf(unknown, "run hemlockctl resend %s", name)
}

// resend sends the request in a file again.
func (s *session) resend(ctx context.Context, command *FileCommand) error {
	data, err := os.ReadFile(command.File)
	if err != nil {
		return &UsageError{Problem: fmt.Sprintf("the file can't be read: %v; mend the name", err)}
	}
	request := new(api.ChangeRequest)
	if err := json.Unmarshal(data, request); err != nil || request.ChangeID == "" {
		return &UsageError{Problem: command.File + " is not a file that hemlockctl has written; name the one from the earlier message"}
	}
	return s.send(ctx, request)
}
