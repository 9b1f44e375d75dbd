package throttle

import (
	"strings"

	"github.com/hemlockring/hemlockring/internal/decimal"
)

// Kind says what a response states about the rate of its backend server.
type Kind uint8

const (
	// KindNone means that the response names no rate: the server accepts any rate.
	KindNone Kind = iota
	// KindRate means that the response names a rate.
	KindRate
	// KindInvalid means that the response names a rate that can not be read. It neither
	// sets nor ends a limit.
	KindInvalid
)

// Advertised is the rate that a response names.
type Advertised struct {
	// Kind says whether the response names a rate.
	Kind Kind
	// PerSecond is the rate in requests per second from all ingresses together, from 0 to
	// MaxRate. It is set only for KindRate.
	PerSecond float64
}

// MaxRate is the highest rate that a limit distinguishes, in requests per second.
const MaxRate = 1e6

// ParseAdvertised parses a rate in decimal notation, such as "4.3". The empty text means
// that no rate is named. Signs, exponents, infinities and other notations are invalid.
func ParseAdvertised(text string) Advertised {
	if strings.TrimSpace(text) == "" {
		return Advertised{}
	}
	rate, ok := decimal.Parse(text)
	if !ok {
		return Advertised{Kind: KindInvalid}
	}
	return Advertised{Kind: KindRate, PerSecond: min(rate, MaxRate)}
}
