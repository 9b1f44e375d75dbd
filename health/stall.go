package health

import "time"

// Limits on the evidence of one stall.
const (
	// stallAlarmLength is the length of a stall at which the limit on its evidence is
	// minStallEvidenceShare + stallEvidenceGrowth = 1.25 times the alarm threshold. A stall
	// can suffice for an alarm from 86 % of this length, where the limit reaches the
	// threshold. Shorter pauses, such as those of a garbage collector, occur on healthy
	// servers.
	stallAlarmLength = 2 * time.Second
	// stallAlarmFactor times the slow threshold replaces stallAlarmLength if it is longer.
	stallAlarmFactor = 8
	// minStallEvidenceShare is the share of the alarm threshold to which the evidence of a
	// very short stall is limited. stallEvidenceGrowth is added to this share when the stall
	// has the length described at stallAlarmLength.
	minStallEvidenceShare = 0.3
	stallEvidenceGrowth   = 0.95
)

// stall groups slow requests that a single pause of the whole server can explain: all
// began before the first of them ended. Such requests are not independent evidence,
// however many there are, so the evidence of a stall is limited by its length.
type stall struct {
	began    time.Time
	firstEnd time.Time
	// observed is the evidence of all requests, counted the part of it that has been
	// added to the sum.
	observed float64
	counted  float64
}

// addEvidence adds the evidence of a request and returns the evidence to add to the sum
// now. As the stall grows longer, this includes more of the evidence observed earlier. The
// alarm threshold is in nats.
func (s *stall) addEvidence(began, now time.Time, slowThreshold time.Duration, nats, alarmThreshold float64) float64 {
	if s.began.IsZero() || (!s.firstEnd.IsZero() && began.After(s.firstEnd)) {
		*s = stall{began: began}
	}
	if began.Before(s.began) {
		s.began = began
	}
	s.observed += nats
	limit := stallEvidenceShare(now.Sub(s.began), slowThreshold) * alarmThreshold
	counted := max(0, min(s.observed, limit)-s.counted)
	s.counted += counted
	return counted
}

// stallEvidenceShare returns the maximum evidence of a stall of the given length, as a
// share of the alarm threshold. It grows with the square of the length, so that several
// short stalls in a row give less evidence than one long stall.
func stallEvidenceShare(length, slowThreshold time.Duration) float64 {
	alarmLength := max(stallAlarmLength, stallAlarmFactor*slowThreshold)
	fraction := float64(length) / float64(alarmLength)
	return minStallEvidenceShare + stallEvidenceGrowth*fraction*fraction
}

// requestEnded records that a slow request has ended.
func (s *stall) requestEnded(now time.Time) {
	if s.firstEnd.IsZero() {
		s.firstEnd = now
	}
}
