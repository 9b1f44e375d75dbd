package throttle

import "time"

// maxWaitDivisor limits the wait of a request for a token: it may last for the request's
// latency target divided by maxWaitDivisor, so that the response can still arrive within
// the rest of the target.
const maxWaitDivisor = 3

// MaxWait returns how long a request may wait for a token when no backend server admits it
// at once. A request without a latency target does not wait.
func MaxWait(latencyTarget time.Duration) time.Duration { return latencyTarget / maxWaitDivisor }
