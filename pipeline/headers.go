package pipeline

// Headers that hemlockring sets, and Idempotency-Key, which callers set. The headers
// that hemlockring sets begin with HeaderPrefix, so that headers that a caller has
// forged can be removed by prefix.
const (
	// HeaderPrefix begins the name of every header that only hemlockring may set.
	HeaderPrefix = "Hemlock-"
	// HeaderOutcome carries the Outcome of the request to the ingress and to the
	// caller.
	HeaderOutcome = "Hemlock-Outcome"
	// HeaderRequestID carries the request id to the backend server and to the
	// caller.
	HeaderRequestID = "Hemlock-Request-Id"
	// HeaderRefusal carries the RefusalKind of a refused request.
	HeaderRefusal = "Hemlock-Refusal"
	// HeaderReplayed is "true" if the response to a repeated order is a stored one.
	HeaderReplayed = "Hemlock-Replayed"
	// HeaderAccount carries the client account to the backend proxy and the backend
	// server.
	HeaderAccount = "Hemlock-Account"
	// HeaderKeyID carries the id of the key, never the key itself, to the backend
	// proxy.
	HeaderKeyID = "Hemlock-Key-Id"
	// HeaderConfigurationVersion carries the version of the ingress's configuration
	// to the backend proxy.
	HeaderConfigurationVersion = "Hemlock-Judged-By"
	// HeaderService carries the name of the service to the backend proxy.
	HeaderService = "Hemlock-Service"
	// HeaderCallerService carries the service that runs on the caller's machine to
	// the backend proxy.
	HeaderCallerService = "Hemlock-Calling-Service"
	// HeaderRetryAfter carries the Retry-After time of a refusal to the ingress, in
	// milliseconds.
	HeaderRetryAfter = "Hemlock-Retry-After-Ms"
	// HeaderBackendServer carries the id of the selected backend server to the
	// backend proxy.
	HeaderBackendServer = "Hemlock-Backend-Server"
	// HeaderDeadline carries the time left until the deadline of the request, in
	// milliseconds.
	HeaderDeadline = "Hemlock-Deadline-Ms"
	// HeaderIdempotent tells the backend proxy that the request may run more than
	// once.
	HeaderIdempotent = "Hemlock-Idempotent"
	// HeaderUrgency carries the urgency of the request to the backend proxy.
	HeaderUrgency = "Hemlock-Urgency"
	// HeaderLastResort tells the backend proxy that earlier attempts were refused
	// because their backend servers are suspected of failure, and that the backend
	// server should therefore run the request even if it is suspected of failure.
	HeaderLastResort = "Hemlock-Last-Resort"
	// HeaderWaitForRate carries how long the request may wait, in milliseconds, until the
	// rate that the backend server advertises admits it. Without the header, the backend
	// proxy refuses a request that would have to wait.
	HeaderWaitForRate = "Hemlock-Wait-For-Rate-Ms"
	// HeaderTarget carries the time left until the response misses the latency target of
	// the request, in milliseconds; zero if it has already missed it.
	HeaderTarget = "Hemlock-Target-Ms"
	// HeaderServiceTime carries the usual service time of such requests at the servers of the
	// service, in milliseconds, as far as the ingress knows it.
	HeaderServiceTime = "Hemlock-Service-Time-Ms"
	// HeaderRoute carries the ID of the request's route to the backend proxy. It is set while
	// calls take precedence.
	HeaderRoute = "Hemlock-Route"
	// HeaderTrial tells the backend proxy that the request is quarantined and that this is
	// its trial run.
	HeaderTrial = "Hemlock-Trial"
	// HeaderRepeat tells the backend proxy that the request repeats one that may have reached a
	// backend server before; see Repeat.
	HeaderRepeat = "Hemlock-Repeat"
	// HeaderCallerRequest may be set by a backend server that sends a request of its own. It
	// names the request that the server runs meanwhile, by the value of HeaderRequestID.
	HeaderCallerRequest = "Hemlock-Caller-Request"
	// HeaderCrash carries to the ingress what the backend proxy knows about a request that
	// was under way in a crash.
	HeaderCrash = "Hemlock-Crash"
	// HeaderReached tells the ingress that a refused request may have reached the
	// backend server.
	HeaderReached = "Hemlock-Reached"
	// HeaderDispatchBy carries the dispatch deadline of the request, as a reading of
	// the backend proxy's clock.
	HeaderDispatchBy = "Hemlock-Dispatch-By"
	// HeaderClock carries a reading of the backend proxy's clock to the ingress.
	HeaderClock = "Hemlock-Clock"
	// HeaderDispatchAge carries Exchange.DispatchAge to the ingress, in microseconds:
	// the time between the dispatch of the request and the arrival of the response
	// header at the backend proxy.
	HeaderDispatchAge = "Hemlock-Dispatched-Ago-Us"
	// HeaderIdempotencyKey carries the caller's idempotency key of an order.
	HeaderIdempotencyKey = "Idempotency-Key"
)
