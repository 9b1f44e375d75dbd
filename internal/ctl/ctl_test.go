package ctl

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/admin"
	"github.com/hemlockring/hemlockring/configsync"
	"github.com/hemlockring/hemlockring/fleetconfig"
)

// fakeFleet is a fleet with one replica. If dropResponses is set, the server makes changes
// but drops the response; if conflict is set, another operator's change is accepted first.
type fakeFleet struct {
	replica       *configsync.Replica
	changed       chan struct{}
	dropResponses atomic.Bool
	conflict      bool
}

func (f *fakeFleet) View() *fleetconfig.View                 { return fleetconfig.NewView(f.replica.Document()) }
func (f *fakeFleet) Current(time.Time) (bool, time.Duration) { return true, 0 }
func (f *fakeFleet) Changed() <-chan struct{}                { return f.changed }
func (f *fakeFleet) History() []fleetconfig.HistoryEntry     { return f.replica.History() }
func (f *fakeFleet) apply(command *fleetconfig.Command) []byte {
	entry, err := fleetconfig.EncodeCommand(command)
	if err != nil {
		panic(err)
	}
	return f.replica.Apply(0, entry)
}

func (f *fakeFleet) Propose(_ context.Context, command *fleetconfig.Command) (*fleetconfig.Result, error) {
	if f.conflict {
		f.apply(&fleetconfig.Command{ChangeID: "overtaker", BaseVersion: command.BaseVersion, Changes: []fleetconfig.Change{
			{Kind: fleetconfig.UsePreset, Name: fleetconfig.PresetMaintenance},
		}})
	}
	return fleetconfig.DecodeResult(f.apply(command))
}

// cli runs hemlockctl commands against a test server, in a temporary folder.
type cli struct {
	t      *testing.T
	server string
	token  string
}

func newCLI(t *testing.T) (*cli, *fakeFleet) {
	f := &fakeFleet{replica: configsync.NewReplica(), changed: make(chan struct{})}
	members := func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`[{"failure_domain":"a"}]`)) }
	handler := admin.NewHandler(admin.Config{Configuration: f, Proposer: f, History: f, Operators: []admin.Operator{
		{Name: "olga", Role: admin.RoleOperator, TokenHash: admin.HashToken("secret")},
	}, Resources: []admin.Resource{{Pattern: "GET /v1/members", Role: admin.RoleViewer, Handler: members}}})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if f.dropResponses.Load() && r.Method == http.MethodPost {
			handler.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	t.Chdir(t.TempDir())
	must.NoError(t, os.WriteFile("token", []byte("secret\n"), 0o600))
	return &cli{t: t, server: server.URL, token: "token"}, f
}

func (c *cli) run(line string) (code int, stdout, stderr string) {
	var parsed struct {
		Connection
		Commands
	}
	parser, err := arg.NewParser(arg.Config{}, &parsed)
	must.NoError(c.t, err)
	must.NoError(c.t, parser.Parse(append([]string{"--server", c.server, "--token-file", c.token}, strings.Fields(line)...)))
	var out, errorOutput bytes.Buffer
	code = Run(context.Background(), &parsed.Connection, &parsed.Commands, &out, &errorOutput)
	return code, out.String(), errorOutput.String()
}

// expect runs a command and checks its exit code and that its output contains part.
func (c *cli) expect(code int, line, part string) string {
	c.t.Helper()
	got, stdout, stderr := c.run(line)
	must.Eq(c.t, code, got, must.Sprint(line+"\n"+stdout+stderr))
	must.StrContains(c.t, stdout+stderr, part)
	return stdout
}

// An evacuation is accepted whatever version the configuration has, and repeating it changes
// nothing.
func TestEvacuateCommand(t *testing.T) {
	c, _ := newCLI(t)
	c.expect(ExitOK, "account set shop --rate 5 --burst 2", "version 1 is accepted")
	c.expect(ExitOK, "evacuate a", "version 2 is accepted")
	c.expect(ExitOK, "evacuate a", "version 2 is accepted")
	c.expect(ExitOK, "evacuate b", "no instance in failure domain b is known")
	c.expect(ExitOK, "status", "evacuated failure domain a\nevacuated failure domain b\n")
	c.expect(ExitOK, "--json status", `"evacuated_domains": [`)
	c.expect(ExitRefused, "evacuate a/b", "not allowed")
	c.expect(ExitOK, "evacuate a --end", "version 4 is accepted")
	c.expect(ExitOK, "evacuate b --end", "version 5 is accepted")
	_, stdout, _ := c.run("status")
	must.StrNotContains(t, stdout, "evacuated")
	c.expect(ExitOK, "history", "end-evacuation b")
}

func TestCommandsChangeAndListConfiguration(t *testing.T) {
	c, f := newCLI(t)
	c.expect(ExitOK, "account set shop --rate 5 --burst 2", "version 1 is accepted")
	c.expect(ExitOK, "account set shop --burst 3", "version 2 is accepted")
	c.expect(ExitOK, "account list", "rate 5/s\tburst 3")
	c.expect(ExitRefused, "account set shop --rate -1", "rate_per_second")
	c.expect(ExitOK, "service set stock --floor-percent 60", "version 3")
	c.expect(ExitOK, "route set r --path-prefix /stock --service stock --route-timeout 5s --idempotency always --large-answers --below-prefix", "version 4")
	c.expect(ExitOK, "route list", "idempotency always\ttimeout 5s\tlarge answers true\tbelow prefix true")

	keyOutput := strings.Fields(c.expect(ExitOK, "key give shop --label till", "key id "))
	key := keyOutput[len(keyOutput)-1]
	view := f.View()
	must.Eq(t, "shop", view.KeyByHash(fleetconfig.HashKey(key)).Account)
	c.expect(ExitOK, "key withdraw "+string(fleetconfig.HashKey(key).ID()), "version 6")
	must.Nil(t, f.View().KeyByHash(fleetconfig.HashKey(key)))

	c.expect(ExitOK, "preset use peak", "version 7")
	c.expect(ExitOK, "preset list", "* peak")
	c.expect(ExitOK, "status", "preset in force peak")
	c.expect(ExitOK, "history", "olga")
	c.expect(ExitOK, "--json status", `"version": 7`)
}

func TestApplyAndDiffOfFile(t *testing.T) {
	c, _ := newCLI(t)
	must.NoError(t, os.WriteFile("fleet.ini", []byte("[fleet]\npreset = peak\n[account a]\nrate_per_second = 1\nburst = 1\n"), 0o600))
	must.NoError(t, os.WriteFile("bad.ini", []byte("[account a]\nrate = 1\n"), 0o600))
	c.expect(ExitDiffers, "diff fleet.ini", "create-account account a")
	c.expect(ExitOK, "apply fleet.ini", "version 1 is accepted")
	c.expect(ExitOK, "diff fleet.ini", "")
	c.expect(ExitOK, "apply fleet.ini", "nothing to do")
	c.expect(ExitUsage, "apply bad.ini", "bad.ini: [account a] rate: is unknown here")
	c.expect(ExitUsage, "apply none.ini", "check the path")

	var large strings.Builder
	for i := range maxChangesPerRequest + 1 {
		fmt.Fprintf(&large, "[account large-%d]\nrate_per_second = 1\nburst = 1\n", i)
	}
	must.NoError(t, os.WriteFile("large.ini", []byte(large.String()), 0o600))
	c.expect(ExitOK, "apply large.ini", "version 3 is accepted")
	c.expect(ExitOK, "diff large.ini", "")
}

// If the response to a change is lost, the command reports an unknown outcome, and resend
// repeats the change without making it twice. A conflicting change, a rejected token and
// an unreachable server each have their exit code.
func TestExitCodesOfUnknownOutcomeConflictAndUnreachable(t *testing.T) {
	c, f := newCLI(t)
	f.dropResponses.Store(true)
	c.expect(ExitOutcomeUnknown, "--timeout 100ms preset use peak", "hemlockctl resend")
	must.Eq(t, 1, f.View().Version())
	files, err := filepath.Glob("hemlockctl-*.json")
	must.NoError(t, err)
	must.SliceLen(t, 1, files)
	f.dropResponses.Store(false)
	c.expect(ExitOK, "resend "+files[0], "version 1 is accepted")
	must.Eq(t, 1, f.View().Version())

	f.conflict = true
	c.expect(ExitConflict, "preset use ordinary", "read the current version")
	must.NoError(t, os.WriteFile("token", []byte("wrong"), 0o600))
	c.expect(ExitRefused, "status", "token")
	c.server = "http://127.0.0.1:1"
	c.expect(ExitUnreachable, "status", "no control instance has answered")
}
