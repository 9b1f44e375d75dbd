package settings

import (
	"log/slog"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"

	"github.com/hemlockring/hemlockring/fleetconfig"
)

// Limits on the values of settings.
const (
	maxNameLength        = 64
	minStopTimeout       = time.Second
	maxStopTimeout       = time.Hour
	minReportInterval    = time.Second
	maxReportInterval    = time.Hour
	maxToleratedFailures = 3
	minElectionTimeout   = 300 * time.Millisecond
	maxElectionTimeout   = time.Minute
	minShardLease        = 500 * time.Millisecond
	maxShardLease        = time.Minute
	minRevocationBound   = time.Second
	maxRevocationBound   = time.Hour
)

// checkName returns an error that states the valid form if the text is not a valid
// name.
func checkName(text string) error {
	if text == "" || len(text) > maxNameLength {
		return errors.Newf("write 1 to %d letters, digits, dots, hyphens or underscores", maxNameLength)
	}
	for _, r := range text {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		if !letter && (r < '0' || r > '9') && !strings.ContainsRune(".-_", r) {
			return errors.Newf("write letters, digits, dots, hyphens or underscores, not %q", r)
		}
	}
	return nil
}

// checkAddress returns an error that states the valid form if the text is not a specified
// IP address with a port other than 0.
func checkAddress(text string) error {
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 {
		return errors.Newf("write an IP address and a port, as in 127.0.0.1:7400, not %q", text)
	}
	if address.Addr().IsUnspecified() {
		return errors.New("write the IP address at which others reach the instance, not the unspecified address")
	}
	return nil
}

func setAddress(target *string, text string) error {
	if err := checkAddress(text); err != nil {
		return err
	}
	*target = text
	return nil
}

func setOptionalAddress(target *string, text string) error {
	if text == "" {
		return nil
	}
	return setAddress(target, text)
}

func setAddresses(target *[]string, text string) error {
	for _, part := range splitList(text) {
		if err := checkAddress(part); err != nil {
			return err
		}
		*target = append(*target, part)
	}
	return nil
}

// setJoinPort replaces the ports of all addresses. A port of 0 leaves them unchanged.
func setJoinPort(addresses *[]string, text string) error {
	port, err := strconv.ParseUint(text, 10, 16)
	if err != nil {
		return errors.Newf("write a UDP port from 0 to 65535, not %q", text)
	}
	if port == 0 {
		return nil
	}
	for i, address := range *addresses {
		parsed, err := netip.ParseAddrPort(address)
		if err != nil {
			return errors.Newf("write IP addresses and ports in join, not %q", address)
		}
		(*addresses)[i] = netip.AddrPortFrom(parsed.Addr(), uint16(port)).String()
	}
	return nil
}

func setTrust(target *Trust, text string) error {
	*target = Trust(text)
	if *target != TrustCertificates && *target != TrustNetwork {
		return errors.Newf("write %s or %s, not %q", TrustCertificates, TrustNetwork, text)
	}
	return nil
}

func setBool(target *bool, text string) error {
	value, err := strconv.ParseBool(text)
	if err != nil {
		return errors.Newf("write true or false, not %q", text)
	}
	*target = value
	return nil
}

func setRoles(target *[]Role, text string) error {
	for _, part := range splitList(text) {
		role := Role(part)
		if role != RoleProxy && role != RoleControl {
			return errors.Newf("write proxy, control, or both, not %q", part)
		}
		*target = append(*target, role)
	}
	if len(*target) == 0 {
		return errors.New("write proxy, control, or both")
	}
	return nil
}

func setHeaderName(target *string, text string) error {
	if text != "" && !httpguts.ValidHeaderFieldName(text) {
		return errors.Newf("write the name of an HTTP header, not %q", text)
	}
	*target = text
	return nil
}

// maxLinkMbps is the largest capacity of a link that can be set, 1 Tbit/s.
const maxLinkMbps = 1_000_000

// setLinkMbps sets a capacity in Mbit/s, which may have decimals.
func setLinkMbps(target *uint32, text string) error {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || !(value >= 0 && value <= maxLinkMbps) {
		return errors.Newf("write a number of Mbit/s from 0 to %d, not %q", maxLinkMbps, text)
	}
	*target = uint32(value)
	if value > 0 {
		*target = max(*target, 1)
	}
	return nil
}

func setInt(target *int, text string, minimum, maximum int) error {
	value, err := strconv.Atoi(text)
	if err != nil || value < minimum || value > maximum {
		return errors.Newf("write a whole number from %d to %d, not %q", minimum, maximum, text)
	}
	*target = value
	return nil
}

func setDuration(target *time.Duration, text string, minimum, maximum time.Duration) error {
	value, err := time.ParseDuration(text)
	if err != nil || value < minimum || value > maximum {
		return errors.Newf("write a duration from %s to %s, as in 60s, not %q", minimum, maximum, text)
	}
	*target = value
	return nil
}

func setLevel(target *slog.Level, text string) error {
	if err := target.UnmarshalText([]byte(text)); err != nil {
		return errors.Newf("write debug, info, warn or error, not %q", text)
	}
	return nil
}

func setMembers(target *[]ControlMember, text string) error {
	parts := splitList(text)
	if len(parts) == 0 {
		return nil
	}
	for _, part := range parts {
		id, address, found := strings.Cut(part, "=")
		id = strings.TrimSpace(id)
		address = strings.TrimSpace(address)
		if !found {
			return errors.Newf("write ID=ADDRESS, not %q", part)
		}
		if err := checkName(id); err != nil {
			return err
		}
		if err := checkAddress(address); err != nil {
			return err
		}
		*target = append(*target, ControlMember{ID: fleetconfig.InstanceID(id), Address: address})
	}
	switch len(*target) {
	case 1, 3, 5, 7:
		return nil
	}
	return errors.Newf("write 1, 3, 5 or 7 members, not %d", len(*target))
}

// splitList splits a list at commas and omits empty parts.
func splitList(text string) []string {
	var parts []string
	for part := range strings.SplitSeq(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			parts = append(parts, part)
		}
	}
	return parts
}
