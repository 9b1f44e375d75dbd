package ctl

import (
	"crypto/rand"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/hemlockring/hemlockring/admin"
)

// LocalCommands need no connection to the fleet.
type LocalCommands struct {
	CA       *AuthorityArguments `arg:"subcommand:ca" help:"make the fleet's authority and certificates"`
	Settings *SettingsArguments  `arg:"subcommand:settings" help:"print or check settings files of hemlockd"`
	Operator *OperatorArguments  `arg:"subcommand:operator" help:"make the token of an operator"`
}

// OperatorArguments is the command line of 'hemlockctl operator'.
type OperatorArguments struct {
	New *OperatorNewArguments `arg:"subcommand:new" help:"make a token, and print the line for the operators' file"`
}

// OperatorNewArguments is the command line of 'hemlockctl operator new'.
type OperatorNewArguments struct {
	// Name stands in the history of changes.
	Name string `arg:"positional,required" help:"name of the operator"`
	// Role says what the operator may do.
	Role string `arg:"positional,required" help:"viewer, operator or administrator"`
	// TokenFile receives the token.
	TokenFile string `arg:"--to,required" help:"new file for the token" placeholder:"FILE"`
}

// RunLocal executes a command that needs no connection. It reports false when
// none of them was given.
func RunLocal(commands *LocalCommands, stdout, stderr io.Writer) (code int, ran bool) {
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

// runOperator makes the token of an operator. The file must be new, so that no
// token is lost by mistake.
func runOperator(arguments *OperatorArguments, stdout io.Writer) error {
	if arguments.New == nil {
		return errors.New("name a command: operator new")
	}
	role, err := admin.ParseRole(arguments.New.Role)
	if err != nil {
		return err
	}
	file, err := os.OpenFile(arguments.New.TokenFile, os.O_CREATE|os.O_EXCL|os.O_WRONLY, requestFileMode)
	if err != nil {
		return errors.Wrap(err, "make the token file; choose a new name")
	}
	token := rand.Text() + rand.Text()
	if _, err := fmt.Fprintln(file, token); err != nil {
		_ = file.Close()
		return errors.Wrap(err, "write the token")
	}
	if err := file.Close(); err != nil {
		return errors.Wrap(err, "write the token")
	}
	_, err = io.WriteString(stdout, admin.OperatorLine(arguments.New.Name, role, token))
	return errors.Wrap(err, "print")
}
