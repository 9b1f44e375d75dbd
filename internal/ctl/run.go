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

// Run runs a command that uses the administration API. It writes results to stdout and
// errors to stderr, and returns the exit code.
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
	case commands.Quarantine != nil:
		return s.quarantine(ctx, commands.Quarantine)
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
	return s.runItemCommand(ctx, commands)
}

// runItemCommand runs the commands that list, set and remove accounts, routes or services, or
// evacuate a failure domain.
func (s *session) runItemCommand(ctx context.Context, commands *Commands) error {
	switch {
	case commands.Account != nil:
		return s.account(ctx, commands.Account)
	case commands.Route != nil:
		return s.route(ctx, commands.Route)
	case commands.Service != nil:
		return s.service(ctx, commands.Service)
	case commands.Evacuate != nil:
		return s.evacuate(ctx, commands.Evacuate)
	}
	return &UsageError{Message: "no command given; see hemlockctl --help"}
}

func newClient(connection *Connection) (*client.Client, error) {
	if len(connection.Servers) == 0 {
		return nil, &UsageError{Message: "no server given; set --server URL or HEMLOCKRING_SERVERS"}
	}
	if connection.TokenFile == "" {
		return nil, &UsageError{Message: "no operator token given; set --token-file FILE or HEMLOCKRING_TOKEN_FILE"}
	}
	token, err := os.ReadFile(connection.TokenFile)
	if err != nil {
		return nil, &UsageError{Message: fmt.Sprintf("token file cannot be read: %v; check --token-file", err)}
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
		return nil, &UsageError{Message: fmt.Sprintf("CA file cannot be read: %v; check --ca", err)}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, &UsageError{Message: fmt.Sprintf("CA file %s contains no certificate in PEM format; check --ca", file)}
	}
	return pool, nil
}

// session holds the connection flags, the client and the output streams of one run of
// hemlockctl.
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

// change sends changes under a new change id, based on the given configuration version.
func (s *session) change(ctx context.Context, base uint64, changes []fleetconfig.Change) error {
	return s.send(ctx, &api.ChangeRequest{ChangeID: client.NewChangeID(), BaseVersion: base, Changes: changes})
}

// send sends a change request. If the outcome is unknown, it saves the request to a file,
// so that resend can repeat it with the same change id.
func (s *session) send(ctx context.Context, request *api.ChangeRequest) error {
	response, err := s.client.Change(ctx, request)
	var unknown *client.OutcomeUnknownError
	if errors.As(err, &unknown) {
		return s.saveRequest(request, err)
	}
	if err != nil {
		return err
	}
	if s.connection.JSON {
		return s.printJSON(response)
	}
	s.printf("version %d is accepted\n", response.Version)
	return nil
}

// privateFileMode restricts files that hold requests or tokens to their owner.
const privateFileMode = 0o600

func (s *session) saveRequest(request *api.ChangeRequest, unknown error) error {
	name := "hemlockctl-" + request.ChangeID + ".json"
	data, err := json.Marshal(request)
	if err == nil {
		err = os.WriteFile(name, data, privateFileMode)
	}
	if err != nil {
		return errors.WithSecondaryError(unknown, err)
	}
	return errors.Wrapf(unknown, "change not confirmed; run hemlockctl resend %s", name)
}

// resend repeats the request that an earlier command saved to a file.
func (s *session) resend(ctx context.Context, command *FileCommand) error {
	data, err := os.ReadFile(command.File)
	if err != nil {
		return &UsageError{Message: fmt.Sprintf("request file cannot be read: %v; check the path", err)}
	}
	request := new(api.ChangeRequest)
	if err := json.Unmarshal(data, request); err != nil || request.ChangeID == "" {
		return &UsageError{Message: command.File + " is not a request file of hemlockctl; use the file named in the earlier error message"}
	}
	return s.send(ctx, request)
}
