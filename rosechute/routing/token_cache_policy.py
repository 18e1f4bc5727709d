"""Policy constants of the token cache: waiting times of requests, prefetch and lease reports."""

# Time that a request may wait for tokens before it is rejected.

# If the leader answers: its bucket refills, and a request gains nothing by a longer wait.
MAX_WAIT_S = 0.25
# If the leader does not answer: no successor is elected in time for the request.
SILENT_LEADER_WAIT_S = 0.12
# If the lease will accrue the tokens within this time, whether or not the leader answers.
ACCRUAL_WAIT_S = 0.2
# If no leader is known: reject early, so that clients back off.
NO_LEADER_WAIT_S = 0.04

# Time to wait for an answer of the leader.

# An unanswered token request is sent again after this time. It is shorter than `SILENT_LEADER_WAIT_S`, so that a lost
# message does not cause a rejection.
RESPONSE_TIMEOUT_S = 0.08
# On a slow link, `RESPONSE_TIMEOUT_S` and `SILENT_LEADER_WAIT_S` grow to this multiple of the measured round trip.
ROUND_TRIPS_WAITED = 3.0
# Upper limit of both on a slow link.
MAX_SLOW_LINK_WAIT_S = 0.6
# Weight of the newest round trip in the moving average.
ROUND_TRIP_WEIGHT = 0.2
# A token request is forgotten after this time; an answer that arrives later is ignored.
REQUEST_EXPIRY_S = 2.0

# Retry-After of rejected requests.

# A new leader is elected within this time after the loss of the previous one.
ELECTION_S = 2.0
# Minimum if the leader does not answer.
MIN_RETRY_AFTER_S = 0.3
# Minimum if the lease will accrue the tokens.
MIN_LEASE_RETRY_AFTER_S = 0.05

# Priorities.

# Share of the used tokens that is credited to waiting requests of lower priority, so that none starves.
LOW_PRIORITY_SHARE = 0.1
# The credit (deficit counter) is capped at this multiple of the largest waiting request.
MAX_DEFICIT_REQUESTS = 2.0

# Prefetch: tokens that are requested ahead of demand.

# Time whose demand is requested ahead.
PREFETCH_S = 0.2
# Prefetch only if that demand amounts to several mean requests, as tokens that expire unused are lost to the tenant.
MIN_PREFETCH_REQUESTS = 3.0

# Estimate of the demand.

# Time constant of the demand that determines the prefetch.
DEMAND_SPAN_S = 1.0
# Time constant of the demand that is reported for leases; it is longer, so that leased rates change slowly.
LEASE_DEMAND_SPAN_S = 8.0
# Weight of the newest request in the mean request size.
REQUEST_SIZE_WEIGHT = 0.1

# Lease reports.

# Time from the sending of an answered report to the next report.
REPORT_INTERVAL_S = 0.45
# An unanswered report is considered lost after this time.
REPORT_TIMEOUT_S = 0.9
# A tenant without a lease is reported until this time after its last request.
REPORT_AFTER_DEMAND_S = 4.0
