package placement

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/hemlockring/hemlockring/fleetconfig"
	_ "github.com/hemlockring/hemlockring/internal/fixedseed"
	"github.com/hemlockring/hemlockring/queue"
)

var epoch = time.Unix(0, 0)

func millis(t *rapid.T, name string, limit int) time.Duration {
	return time.Duration(rapid.IntRange(0, limit).Draw(t, name)) * time.Millisecond
}

func drawServer(t *rapid.T) *Server {
	const slots = 8
	server := &Server{Slots: slots, InFlight: uint32(rapid.IntRange(0, 60).Draw(t, "in flight")), Sent: uint32(rapid.IntRange(0, 12).Draw(t, "sent"))}
	server.Slowness = rapid.Float64Range(0, queue.MaxSlowness).Draw(t, "slowness")
	if rapid.Bool().Draw(t, "heard") {
		server.HeardAt = epoch.Add(-millis(t, "age", 5000))
	}
	if server.InFlight < slots {
		return server
	}
	server.Outlook.NextSlot = time.Millisecond + millis(t, "next slot", 500)
	for urgency := range rapid.IntRange(0, 3).Draw(t, "ranks") {
		first := millis(t, "first", 1000)
		server.Outlook.Waiting = append(server.Outlook.Waiting, queue.RankedWork{Urgency: fleetconfig.Urgency(urgency), First: first, Total: first + millis(t, "more", 2000)})
	}
	server.Outlook.Full = rapid.Bool().Draw(t, "full")
	server.Outlook.Overloaded = rapid.Bool().Draw(t, "overloaded")
	return server
}

func drawRequest(t *rapid.T) *Request {
	deadline := epoch.Add(millis(t, "deadline", 12000))
	return &Request{
		Urgency: fleetconfig.Urgency(rapid.IntRange(0, 3).Draw(t, "urgency")), ServiceTime: millis(t, "service time", 2000),
		Deadline: deadline, StartBy: deadline, TargetTime: epoch.Add(millis(t, "target", 6000)), BusyRefusals: rapid.IntRange(0, 3).Draw(t, "refusals"),
	}
}

func decide(servers []*Server, request *Request, now time.Time) (Verdict, time.Duration) {
	var survey Survey
	for _, server := range servers {
		survey.Add(server, request, now)
	}
	return survey.Decide(request)
}

// Whatever the news, a request is not refused while a known server has a free slot, nor while
// too few servers are known before it was refused twice; news that is too old admits it, and
// a refusal names a positive time.
func TestRequestIsNotRefusedWithoutCause(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var servers []*Server
		free, known := false, 0
		request := drawRequest(t)
		for range rapid.IntRange(0, 10).Draw(t, "servers") {
			server := drawServer(t)
			servers = append(servers, server)
			if !server.HeardAt.IsZero() && epoch.Sub(server.HeardAt) < NewsLifetime {
				known++
				free = free || server.InFlight+server.Sent < server.Slots
			}
		}
		verdict, roomIn := decide(servers, request, epoch)
		if free || known == 0 {
			must.Eq(t, Admit, verdict)
		}
		if known < len(servers) && known < minWitnesses && request.BusyRefusals < believedRefusals {
			must.Eq(t, Admit, verdict)
		}
		if verdict == Refuse {
			must.Positive(t, roomIn)
		}
		later, _ := decide(servers, request, epoch.Add(NewsLifetime))
		must.Eq(t, Admit, later, must.Sprint("old news refuses nothing"))
	})
}

// All servers are known to be full beyond the request's time: it is refused at once.
func TestRequestIsRefusedWhenAllServersAreFull(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		request := drawRequest(t)
		request.BusyRefusals = 0
		var servers []*Server
		for range rapid.IntRange(1, 10).Draw(t, "servers") {
			server := drawServer(t)
			server.HeardAt = epoch.Add(-millis(t, "fresh", 1000))
			server.Outlook.NextSlot = request.Deadline.Sub(epoch) + time.Millisecond + millis(t, "beyond", 1000)
			servers = append(servers, server)
		}
		verdict, roomIn := decide(servers, request, epoch)
		must.Eq(t, Refuse, verdict)
		must.Positive(t, roomIn)
	})
}

// More urgent requests are admitted where less urgent ones with the same limits are refused,
// never the other way round.
func TestMoreUrgentRequestIsAdmittedFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var servers []*Server
		for range rapid.IntRange(1, 6).Draw(t, "servers") {
			server := drawServer(t)
			for i := range server.Outlook.Waiting {
				// Each account has one request waiting; with more, the urgency of the others
				// counts differently.
				server.Outlook.Waiting[i].Total = server.Outlook.Waiting[i].First
			}
			servers = append(servers, server)
		}
		less := drawRequest(t)
		more := *less
		more.Urgency = less.Urgency / 2
		lessVerdict, _ := decide(servers, less, epoch)
		moreVerdict, _ := decide(servers, &more, epoch)
		must.LessEq(t, lessVerdict, moreVerdict)
	})
}

func TestServiceTimesFollowTheMedianOfEachRoute(t *testing.T) {
	var times ServiceTimes
	must.Zero(t, times.Of("a"))
	for i := range 300 {
		took := 100 * time.Millisecond
		if i%3 == 0 {
			took = 6 * time.Second
		}
		times.Record("a", took)
		times.Record("b", time.Second)
	}
	must.Between(t, 50*time.Millisecond, times.Of("a"), 200*time.Millisecond)
	must.Eq(t, time.Second, times.Of("b"))
}

// An ingress with fresh news decides about a request of an account that has none waiting as
// the server's queue does.
func TestFreshNewsAgreesWithTheQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 3
		server := queue.New(slots, 100)
		now := epoch
		id := queue.ItemID(0)
		for range rapid.IntRange(0, 40).Draw(t, "offers") {
			id++
			now = now.Add(millis(t, "gap", 100))
			server.Offer(queue.Item{
				ID: id, Account: fleetconfig.AccountID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account")),
				Urgency: fleetconfig.Urgency(rapid.IntRange(0, 3).Draw(t, "urgency")), Deadline: now.Add(time.Hour), ServiceTime: millis(t, "time", 1000),
			}, now)
		}
		request := drawRequest(t)
		request.BusyRefusals = believedRefusals
		request.ServiceTime += time.Millisecond
		request.Deadline = now.Add(request.Deadline.Sub(epoch))
		request.StartBy = request.Deadline
		request.TargetTime = now.Add(request.TargetTime.Sub(epoch))
		news := &Server{Outlook: server.Outlook(), Slots: slots, InFlight: uint32(server.Running() + server.Waiting()), HeardAt: now}
		verdict, _ := decide([]*Server{news}, request, now)
		refused := false
		for _, action := range server.Offer(queue.Item{
			ID: id + 1, Account: "new", Urgency: request.Urgency, Deadline: request.Deadline, TargetTime: request.TargetTime, ServiceTime: request.ServiceTime,
		}, now) {
			_, refused = action.(queue.Refuse)
		}
		must.Eq(t, refused, verdict == Refuse)
	})
}
