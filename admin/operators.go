package admin

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

// operatorFields is the number of fields in a line of the operators' file.
const operatorFields = 3

// OperatorLine returns the line for an operator in the operators' file.
func OperatorLine(name string, role Role, token string) string {
	hash := HashToken(token)
	return fmt.Sprintf("%s %s %s\n", name, role, hex.EncodeToString(hash[:]))
}

// LoadOperators reads the operators' file, which has a line with name, role and token
// digest for each operator. Empty lines and lines that begin with # are skipped. The
// error lists the faults of all lines.
func LoadOperators(file string) ([]Operator, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "the operators' file cannot be read; create its lines with 'hemlockctl operator new'")
	}
	var operators []Operator
	var faults []string
	scanner := bufio.NewScanner(strings.NewReader(string(data)))
	for number := 1; scanner.Scan(); number++ {
		line := strings.TrimSpace(scanner.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		operator, err := parseOperator(line)
		if err != nil {
			faults = append(faults, fmt.Sprintf("%s line %d: %v", file, number, err))
			continue
		}
		operators = append(operators, operator)
	}
	if len(faults) > 0 {
		return nil, errors.New(strings.Join(faults, "\n"))
	}
	return operators, nil
}

func parseOperator(line string) (Operator, error) {
	fields := strings.Fields(line)
	if len(fields) != operatorFields {
		return Operator{}, errors.New("the line has not exactly three fields: a name, a role and the digest of a token; create it with 'hemlockctl operator new'")
	}
	role, err := ParseRole(fields[1])
	if err != nil {
		return Operator{}, err
	}
	digest, err := hex.DecodeString(fields[2])
	if err != nil || len(digest) != sha256.Size {
		return Operator{}, errors.New("the token digest is not a SHA-256 digest in hexadecimal; create the line with 'hemlockctl operator new'")
	}
	return Operator{Name: fields[0], Role: role, TokenHash: [sha256.Size]byte(digest)}, nil
}
