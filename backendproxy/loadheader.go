package backendproxy

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/membership"
	"github.com/hemlockring/hemlockring/queue"
)

const (
	percent = 100
	// urgencyBase is the base in which HeaderLoad encodes an urgency.
	urgencyBase = 36
	// maxRanksInHeader bounds the urgencies that are read from a HeaderLoad.
	maxRanksInHeader = 8
	// Flags of an outlook in HeaderLoad.
	flagOverloaded = "o"
	flagFull       = "f"
	// flagNoRepeats says that the server may receive no repeats now.
	flagNoRepeats = "n"
	// flagShedding precedes the share of requests that the server sheds, in percent, and is
	// the last flag.
	flagShedding = "s"
)

// String encodes the load as a value of HeaderLoad: running and waiting requests, slots,
// weight and failure probability in percent, separated by slashes. If there is anything else
// to say, the slowness in percent, the time until a slot is released in milliseconds and flags
// follow, and then the waiting work by urgency.
func (l Load) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%d/%d/%d/%d/%d", l.Running, l.Queued, l.Slots, l.WeightPercent, l.FailureProbabilityPercent)
	if l.Slowness == 0 && l.Outlook.NextSlot == 0 && !l.NoRepeats && l.SheddingPercent == 0 {
		return text.String()
	}
	fmt.Fprintf(&text, ";%d/%d/", int(percent*l.Slowness), roundedUpMillis(l.Outlook.NextSlot))
	if l.Outlook.Overloaded {
		text.WriteString(flagOverloaded)
	}
	if l.Outlook.Full {
		text.WriteString(flagFull)
	}
	if l.NoRepeats {
		text.WriteString(flagNoRepeats)
	}
	if l.SheddingPercent > 0 {
		text.WriteString(flagShedding + strconv.Itoa(l.SheddingPercent))
	}
	for _, work := range rankedWork(&l.Outlook) {
		fmt.Fprintf(&text, ";%s/%d/%d", strconv.FormatUint(uint64(work.Urgency), urgencyBase), work.TotalMillis, work.FirstMillis)
	}
	return text.String()
}

// ParseLoad decodes the values of HeaderLoad and HeaderServerStatus. It returns false when
// one of them is invalid.
func ParseLoad(text, status string) (load Load, ok bool) {
	const fields = 5
	first, outlook, hasOutlook := strings.Cut(text, ";")
	n, err := fmt.Sscanf(first, "%d/%d/%d/%d/%d",
		&load.Running, &load.Queued, &load.Slots, &load.WeightPercent, &load.FailureProbabilityPercent)
	if err != nil || n != fields || !load.parseStatus(status) {
		return load, false
	}
	if hasOutlook && !load.parseOutlook(strings.SplitN(outlook, ";", maxRanksInHeader+1)) {
		return load, false
	}
	return load, true
}

// parseOutlook decodes what follows the first part of a HeaderLoad. It returns false when it
// is invalid.
func (l *Load) parseOutlook(parts []string) bool {
	const fields = 3
	first := strings.Split(parts[0], "/")
	if len(first) != fields {
		return false
	}
	slowness, slownessErr := strconv.ParseUint(first[0], 10, 16)
	nextSlot, nextSlotErr := strconv.ParseUint(first[1], 10, 32)
	if slownessErr != nil || nextSlotErr != nil {
		return false
	}
	l.Slowness = min(float64(slowness)/percent, queue.MaxSlowness)
	l.Outlook.NextSlot = time.Duration(nextSlot) * time.Millisecond
	flags, shedding, sheds := strings.Cut(first[2], flagShedding)
	if sheds {
		share, err := strconv.ParseUint(shedding, 10, 8)
		if err != nil || share > percent {
			return false
		}
		l.SheddingPercent = int(share)
	}
	l.Outlook.Overloaded = strings.Contains(flags, flagOverloaded)
	l.Outlook.Full = strings.Contains(flags, flagFull)
	l.NoRepeats = strings.Contains(flags, flagNoRepeats)
	for _, part := range parts[1:] {
		text := strings.Split(part, "/")
		if len(text) != fields {
			return false
		}
		urgency, urgencyErr := strconv.ParseUint(text[0], urgencyBase, 64)
		total, totalErr := strconv.ParseUint(text[1], 10, 32)
		first, firstErr := strconv.ParseUint(text[2], 10, 32)
		if urgencyErr != nil || totalErr != nil || firstErr != nil {
			return false
		}
		l.Outlook.Waiting = append(l.Outlook.Waiting, queue.RankedWork{
			Urgency: fleetconfig.Urgency(urgency),
			Total:   time.Duration(total) * time.Millisecond,
			First:   time.Duration(first) * time.Millisecond,
		})
	}
	return true
}

// roundedUpMillis converts a duration to milliseconds, so that only zero becomes zero.
func roundedUpMillis(d time.Duration) uint32 {
	millis := (max(d, 0) + time.Millisecond - 1) / time.Millisecond
	return uint32(min(millis, math.MaxUint32))
}

// rankedWork converts the waiting work of an outlook to the form of load reports.
func rankedWork(outlook *queue.Outlook) []membership.RankedWork {
	var work []membership.RankedWork
	for _, waiting := range outlook.Waiting {
		work = append(work, membership.RankedWork{
			Urgency:     waiting.Urgency,
			TotalMillis: roundedUpMillis(waiting.Total),
			FirstMillis: roundedUpMillis(waiting.First),
		})
	}
	return work
}

// OutlookOf returns the outlook in a load report.
func OutlookOf(load *membership.ServerLoad) queue.Outlook {
	outlook := queue.Outlook{
		NextSlot:   time.Duration(load.NextSlotMillis) * time.Millisecond,
		Overloaded: load.Overloaded,
		Full:       load.Full,
	}
	for _, work := range load.Waiting {
		outlook.Waiting = append(outlook.Waiting, queue.RankedWork{
			Urgency: work.Urgency,
			Total:   time.Duration(work.TotalMillis) * time.Millisecond,
			First:   time.Duration(work.FirstMillis) * time.Millisecond,
		})
	}
	return outlook
}
