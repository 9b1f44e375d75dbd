package ctl

import (
	"crypto/rand"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/admin"
)

// LocalCommands holds the commands that need no connection to the fleet.
type LocalCommands struct {
	CA       *AuthorityArguments `arg:"subcommand:ca" help:"create the fleet's certificate authority and issue certificates"`
	Settings *SettingsArguments  `arg:"subcommand:settings" help:"print or validate settings files of hemlockd"`
	Operator *OperatorArguments  `arg:"subcommand:operator" help:"create operator tokens"`
}

// OperatorArguments holds the subcommands of "hemlockctl operator".
type OperatorArguments struct {
	New *OperatorNewArguments `arg:"subcommand:new" help:"create a token and print its line for the operators file"`
}

// OperatorNewArguments holds the arguments of "hemlockctl operator new".
type OperatorNewArguments struct {
	// Name is the name of the operator. It appears in the change history.
	Name string `arg:"positional,required" help:"name of the operator"`
	// Role is the role of the operator, which determines the permissions.
	Role string `arg:"positional,required" help:"role of the operator: viewer, operator or administrator"`
	// TokenFile is the file that the token is written to. It must not exist yet.
	TokenFile string `arg:"--to,required" help:"file to write the token to; must not exist" placeholder:"FILE"`
}

// RunLocal runs a command that needs no connection to the fleet and returns its exit
// code. handled is false if commands holds no such command.
func RunLocal(commands *LocalCommands, stdout, stderr io.Writer) (code int, handled bool) {
	var err error
	switch {
	case commands.CA != nil:
		err = RunAuthority(commands.CA, stdout)
	case commands.Settings != nil:
		err = RunSettings(commands.Settings, stdout)
	case commands.Operator != nil:
		err = runOperator(commands.Operator, stdout)
	default:
		return ExitOK, false
	}
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "hemlockctl: "+err.Error())
		return ExitUsage, true
	}
	return ExitOK, true
}

// runOperator creates the token of an operator. It refuses to overwrite an existing file,
// which may hold a token in use.
func runOperator(arguments *OperatorArguments, stdout io.Writer) error {
	if arguments.New == nil {
		return errors.New("no subcommand given; use operator new")
	}
	role, err := admin.ParseRole(arguments.New.Role)
	if err != nil {
		return err
	}
	file, err := os.OpenFile(arguments.New.TokenFile, os.O_CREATE|os.O_EXCL|os.O_WRONLY, privateFileMode)
	if err != nil {
		return errors.Wrap(err, "create token file; choose a path that does not exist")
	}
	token := rand.Text() + rand.Text()
	if _, err := fmt.Fprintln(file, token); err != nil {
		_ = file.Close()
		return errors.Wrap(err, "write token file")
	}
	if err := file.Close(); err != nil {
		return errors.Wrap(err, "write token file")
	}
	_, err = io.WriteString(stdout, admin.OperatorLine(arguments.New.Name, role, token))
	return errors.Wrap(err, "write output")
}
