package callgraph_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/hemlockring/hemlockring/fleetconfig"
	"github.com/hemlockring/hemlockring/queue"
)

// The load: orders run at the service `ledger`. Statements run at another service with slots to
// spare, and most of their runs call the ledger. Together they need more slots than it has.
const (
	ledgerSlots   = 20
	orderTime     = 500 * time.Millisecond
	statementTime = 800 * time.Millisecond
	callTime      = 250 * time.Millisecond
	callShare     = 0.7
	callLimit     = 2500 * time.Millisecond
	callTarget    = 800 * time.Millisecond
	statementAim  = 3 * time.Second
	// callWait is a quarter of what the aim of a statement leaves its call for waiting.
	callWait       = (statementAim - statementTime - callTime) / 4
	orderLimit     = 4 * time.Second
	orderTarget    = 2 * time.Second
	statementLimit = 12 * time.Second
	loadLasts      = 8 * time.Second
)

var (
	orderUrgency     = fleetconfig.UrgencyOf(nil, &fleetconfig.Route{Priority: 1})
	statementUrgency = fleetconfig.UrgencyOf(nil, &fleetconfig.Route{Priority: 2})
	unrankedCall     = fleetconfig.UrgencyOf(nil, nil)
)

// result counts what callers get. lost are statements whose run ended because of its call.
type result struct{ orders, ordersServed, statements, statementsServed, refused, lost int }

// ledgerLoad plays the load with a queue in virtual time.
type ledgerLoad struct {
	result
	queue      *queue.Queue
	precedence bool
	random     *rand.Rand
	now        time.Time
	events     []event
	nextID     queue.ItemID
	requests   map[queue.ItemID]ledgerRequest
}

type event struct {
	at time.Time
	do func()
}

// ledgerRequest is a request at the ledger. ended is told whether it was served.
type ledgerRequest struct {
	takes time.Duration
	ended func(served bool)
}

func (l *ledgerLoad) schedule(after time.Duration, do func()) {
	at := l.now.Add(after)
	index, _ := slices.BinarySearchFunc(l.events, at, func(e event, at time.Time) int {
		if e.at.After(at) {
			return 1
		}
		return -1
	})
	l.events = slices.Insert(l.events, index, event{at, do})
}

// offer sends a request to the ledger.
func (l *ledgerLoad) offer(urgency fleetconfig.Urgency, takes, limit, target time.Duration, ended func(bool)) {
	l.nextID++
	l.requests[l.nextID] = ledgerRequest{takes, ended}
	item := queue.Item{ID: l.nextID, Urgency: urgency, Deadline: l.now.Add(limit), ServiceTime: takes}
	if target > 0 {
		item.TargetTime = l.now.Add(target)
	}
	l.handle(l.queue.Offer(item, l.now))
}

func (l *ledgerLoad) handle(actions []queue.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case queue.Refuse:
			l.requests[action.ID].ended(false)
		case queue.Run:
			request := l.requests[action.ID]
			l.schedule(request.takes, func() {
				request.ended(true)
				l.handle(l.queue.Done(action.ID, l.now))
			})
		}
	}
}

func (l *ledgerLoad) order() {
	l.orders++
	l.offer(orderUrgency, orderTime, orderLimit, orderTarget, func(served bool) {
		if served {
			l.ordersServed++
		}
	})
}

// statement starts a statement unless calls take precedence and the ledger has no room for a
// request of its rank.
func (l *ledgerLoad) statement() {
	l.statements++
	l.start(l.now.Add(statementLimit))
}

// start starts a statement, or refuses it while calls take precedence and the ledger has no room
// for a request of its rank. Its caller then comes back while it has time left.
func (l *ledgerLoad) start(deadline time.Time) {
	outlook := l.queue.Outlook()
	if l.precedence && (outlook.Full || outlook.BacklogAhead(statementUrgency) > callWait) {
		comeBack := time.Second + time.Duration(l.random.Float64()*float64(2*time.Second))
		if l.now.Add(comeBack + statementTime + callTime).After(deadline) {
			l.refused++
			return
		}
		l.schedule(comeBack, func() { l.start(deadline) })
		return
	}
	urgency, target := unrankedCall, callTarget
	if l.precedence {
		urgency, target = fleetconfig.UrgencyOfCall(statementUrgency), 0
	}
	l.schedule(statementTime, func() {
		if l.random.Float64() >= callShare {
			l.statementsServed++
			return
		}
		l.offer(urgency, callTime, callLimit, target, func(served bool) {
			if served {
				l.statementsServed++
			} else {
				l.lost++
			}
		})
	})
}

func playLedgerLoad(ordersPerSecond, statementsPerSecond float64, precedence bool) result {
	l := &ledgerLoad{
		queue: queue.New(ledgerSlots, 120), precedence: precedence, random: rand.New(rand.NewPCG(1, 2)),
		now: time.Unix(0, 0), requests: make(map[queue.ItemID]ledgerRequest),
	}
	arrivals := func(perSecond float64, arrive func()) {
		for at := 0.0; at < loadLasts.Seconds(); at += l.random.ExpFloat64() / perSecond {
			l.schedule(time.Duration(at*float64(time.Second)), arrive)
		}
	}
	arrivals(ordersPerSecond, l.order)
	arrivals(statementsPerSecond, l.statement)
	for tick := time.Duration(0); tick < 2*loadLasts; tick += 100 * time.Millisecond {
		l.schedule(tick, func() { l.handle(l.queue.Tick(l.now)) })
	}
	for len(l.events) > 0 {
		next := l.events[0]
		l.events = l.events[1:]
		l.now = next.at
		next.do()
	}
	return l.result
}

// With precedence of calls, a called service that is short for some seconds costs few runs. The
// more urgent orders of that service are served in either case.
func TestPrecedenceOfCallsUnderLoad(t *testing.T) {
	for _, load := range []struct {
		name               string
		orders, statements float64
		// lostShare is how many runs may be lost, as a share of those lost without precedence.
		lostShare float64
	}{
		{"16% more than it can run", 22, 70, 0.05},
		{"50% more than it can run", 28, 92, 0.35},
	} {
		before, after := playLedgerLoad(load.orders, load.statements, false), playLedgerLoad(load.orders, load.statements, true)
		t.Logf("%s, without precedence: %+v", load.name, before)
		t.Logf("%s, with precedence: %+v", load.name, after)
		must.Greater(t, before.statements/10, before.lost)
		must.LessEq(t, load.lostShare*float64(before.lost), float64(after.lost))
		must.Eq(t, after.orders, after.ordersServed)
		must.Greater(t, before.statementsServed, after.statementsServed)
	}
}
