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

// operatorFields is how many fields a line of the operators' file has.
const operatorFields = 3

// OperatorLine returns the line of an operator for the operators' file.
func OperatorLine(name string, role Role, token string) string {
	hash := HashToken(token)
	return fmt.Sprintf("%s %s %s\n", name, role, hex.EncodeToString(hash[:]))
}

// LoadOperators reads the operators' file: a line of name, role and token digest
// for each operator. Empty lines and lines that begin with # are passed over. All
// faults are reported at once.
func LoadOperators(file string) ([]Operator, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read the operators' file; 'hemlockctl operator new' makes its lines")
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
		return Operator{}, errors.New("write a name, a role and the digest of a token; 'hemlockctl operator new' makes the line")
	}
	role, err := ParseRole(fields[1])
	if err != nil {
		return Operator{}, err
	}
	digest, err := hex.DecodeString(fields[2])
	if err != nil || len(digest) != sha256.Size {
		return Operator{}, errors.New("the digest is not one of 'hemlockctl operator new'; make the line anew")
	}
	return Operator{Name: fields[0], Role: role, TokenHash: [sha256.Size]byte(digest)}, nil
}
