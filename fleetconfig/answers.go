package fleetconfig

// maxAnswers is how many answers are kept. At 440 changes a day these are the
// answers of nine days. A command that is sent again later than that is refused
// as a conflict, since its base version is long gone; it never runs twice.
const maxAnswers = 4096

// answer is the kept answer to a command.
type answer struct {
	Digest contentDigest `cbor:"1,keyasint"`
	Result *Result       `cbor:"2,keyasint"`
}

// answerTable keeps the latest answers by change id, up to maxAnswers. The
// oldest goes first; every replica drops the same ones.
type answerTable struct {
	ring []answer
	next int
	byID map[string]int
}

func (t *answerTable) find(changeID string) (*answer, bool) {
	at, found := t.byID[changeID]
	if !found {
		return nil, false
	}
	return &t.ring[at], true
}

// add keeps an answer whose change id is not in the table.
func (t *answerTable) add(a answer) {
	if t.byID == nil {
		t.byID = make(map[string]int)
	}
	if len(t.ring) < maxAnswers {
		t.byID[a.Result.ChangeID] = len(t.ring)
		t.ring = append(t.ring, a)
		return
	}
	delete(t.byID, t.ring[t.next].Result.ChangeID)
	t.ring[t.next] = a
	t.byID[a.Result.ChangeID] = t.next
	t.next = (t.next + 1) % maxAnswers
}

// list returns the answers, oldest first.
func (t *answerTable) list() []answer {
	list := make([]answer, 0, len(t.ring))
	list = append(list, t.ring[t.next:]...)
	return append(list, t.ring[:t.next]...)
}
