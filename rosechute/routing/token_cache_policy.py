"""Policy constants of the token cache: how long requests wait, what is prefetched, when leases are reported.

All times are seconds unless the name of a constant says otherwise.
"""

# How long a request may wait for tokens before it is rejected.

# The leader answers, and its bucket fills: a request gains nothing by waiting for longer.
MAX_WAIT_S = 0.25
# The leader does not answer: its successor is not elected in time for the request.
SILENT_LEADER_WAIT_S = 0.12
# The lease will bring the tokens within this time, whether or not the leader answers.
ACCRUAL_WAIT_S = 0.2
# No leader is known: reject early, so that clients back off.
NO_LEADER_WAIT_S = 0.04

# How long an answer of the leader is waited for.

# A token request without an answer is sent again after this time. Shorter than `SILENT_LEADER_WAIT_S`, so that a
# lost message costs no request.
RESPONSE_TIMEOUT_S = 0.08
# On a slow link both times above grow to this multiple of the measured round trip ...
ROUND_TRIPS_WAITED = 3.0
# ... but no further than this.
MAX_SLOW_LINK_WAIT_S = 0.6
# Weight of the newest round trip in the moving average.
ROUND_TRIP_WEIGHT = 0.2
# The number of a token request is forgotten after this time; an answer that comes later is ignored.
REQUEST_EXPIRY_S = 2.0

# The Retry-After of rejected requests.

# A new leader is elected within this time after the loss of the former one.
ELECTION_S = 2.0
# At least, where the leader does not answer.
MIN_RETRY_AFTER_S = 0.3
# At least, where the lease will bring the tokens.
MIN_LEASE_RETRY_AFTER_S = 0.05

# Priorities.

# Of the tokens used while requests of lower priority wait, this share is credited to these, so that none starves.
LOW_PRIORITY_SHARE = 0.1
# The credit (deficit) is capped at this multiple of the largest waiting request.
MAX_DEFICIT_REQUESTS = 2.0

# Requesting tokens ahead of demand (prefetch).

# The demand of this time is requested ahead.
PREFETCH_S = 0.2
# Only where that comes to several mean requests: tokens that expire unused are lost to the tenant.
MIN_PREFETCH_REQUESTS = 3.0

# Measuring the demand.

# Time constant of the demand that prefetching goes by.
DEMAND_SPAN_S = 1.0
# Time constant of the demand that is reported for leases: longer, so that leased rates move slowly.
LEASE_DEMAND_SPAN_S = 8.0
# Weight of the newest request in the mean request size.
REQUEST_SIZE_WEIGHT = 0.1

# Lease reports.

# Between the sending of a report that was answered and the next report.
REPORT_INTERVAL_S = 0.45
# A report without an answer is taken for lost after this time.
REPORT_TIMEOUT_S = 0.9
# A tenant without a lease is reported for this time after its last request.
REPORT_AFTER_DEMAND_S = 4.0
