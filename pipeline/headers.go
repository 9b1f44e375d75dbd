package pipeline

// Headers that hemlockring adds. All share one prefix, so that a forged one from
// a caller can be removed by prefix.
const (
	// HeaderPrefix starts every header that only hemlockring may set.
	HeaderPrefix = "Hemlock-"
	// HeaderOutcome carries the Outcome of the request to the caller.
	HeaderOutcome = "Hemlock-Outcome"
	// HeaderRequestID carries the request id to the backend server and back.
	HeaderRequestID = "Hemlock-Request-Id"
	// HeaderRefusal carries the RefusalKind of a refused request.
	HeaderRefusal = "Hemlock-Refusal"
	// HeaderReplayed is "true" on a stored answer to a repeated order.
	HeaderReplayed = "Hemlock-Replayed"
	// HeaderAccount carries the client account to the backend proxy and the
	// backend server.
	HeaderAccount = "Hemlock-Account"
	// HeaderKeyID carries the id of the key, never the key, to the backend proxy.
	HeaderKeyID = "Hemlock-Key-Id"
	// HeaderConfigurationVersion carries the version of the ingress's configuration to the backend
	// proxy.
	HeaderConfigurationVersion = "Hemlock-Judged-By"
	// HeaderService carries the service to the backend proxy.
	HeaderService = "Hemlock-Service"
	// HeaderCallerService carries the service on the caller's machine to the backend
	// proxy.
	HeaderCallerService = "Hemlock-Calling-Service"
	// HeaderRetryAfter carries the wait of a refusal to the ingress, in milliseconds.
	HeaderRetryAfter = "Hemlock-Retry-After-Ms"
	// HeaderBackendServer carries the id of the chosen backend server to the
	// backend proxy.
	HeaderBackendServer = "Hemlock-Backend-Server"
	// HeaderDeadline carries the time left for the request, in milliseconds.
	HeaderDeadline = "Hemlock-Deadline-Ms"
	// HeaderIdempotent tells the backend proxy that the request can be repeated.
	HeaderIdempotent = "Hemlock-Idempotent"
	// HeaderUrgency carries the urgency of the request to the backend proxy.
	HeaderUrgency = "Hemlock-Urgency"
	// HeaderLastResort tells the backend proxy that no other backend server is left.
	HeaderLastResort = "Hemlock-Last-Resort"
	// HeaderReached tells the ingress that a refused request reached the backend
	// server.
	HeaderReached = "Hemlock-Reached"
	// HeaderDispatchBy carries the reading of the backend proxy's clock by which the
	// request must have been dispatched.
	HeaderDispatchBy = "Hemlock-Dispatch-By"
	// HeaderClock carries a reading of the backend proxy's clock to the ingress.
	HeaderClock = "Hemlock-Clock"
	// HeaderDispatchAge carries to the ingress how long before the head of the
	// answer the request was dispatched, in microseconds.
	HeaderDispatchAge = "Hemlock-Dispatched-Ago-Us"
	// HeaderIdempotencyKey is the caller's key for an order placement.
	HeaderIdempotencyKey = "Idempotency-Key"
)
