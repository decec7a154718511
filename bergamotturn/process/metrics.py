"""Prometheus metrics of the process.

Prompt lengths are labels by bucket, which gives the time to first token by
prompt length.
"""

from bisect import bisect_left
from typing import Final

from prometheus_client import Counter, Gauge, Histogram

__all__ = (
    'ATTEMPTS',
    'CONFIGURATION_VERSION',
    'CONNECTIONS_CLOSED',
    'ENDED_AFTER_S',
    'ENDPOINTS_EJECTED',
    'ENDPOINT_FAULTS',
    'ENDPOINTS_SLOW',
    'ESTIMATE_RATIO',
    'FIRST_EVENT_S',
    'FIRST_TOKEN_S',
    'HELD_AT_START',
    'GROUPS',
    'INVARIANT_BREACHES',
    'IN_FLIGHT',
    'MEMBERS',
    'PEER_BYTES',
    'PERMITS',
    'RATE_PERMITS',
    'RECORDS_GIVEN_UP',
    'RECORDS_UNWRITTEN',
    'LOG_LINES',
    'LOG_LINES_DROPPED',
    'REFUSALS',
    'RELAYED',
    'RELAY_REFUSALS',
    'RETRIES_LEFT',
    'REQUESTS',
    'RESERVATIONS',
    'RESULTS_SWEPT',
    'SENT_AFTER_S',
    'STORE_OPERATIONS',
    'STORE_ERA',
    'STREAM_EVENTS',
    'TABLE_AGE_S',
    'TABLE_BEHIND_S',
    'prompt_bucket',
)

_PROMPT_BUCKETS_TOKENS: Final = (
    2_000,
    8_000,
    32_000,
    100_000,
    300_000,
    1_000_000,
)

_SERVICE_LABELS: Final = ('service',)

REQUESTS: Final = Counter(
    'bergamotturn_requests',
    'Requests by outcome',
    ('kind', 'outcome'),
)
HELD_AT_START: Final = Counter(
    'bergamotturn_requests_held_at_start',
    'Requests that came before the first configuration and the endpoints.',
)
REFUSALS: Final = Counter(
    'bergamotturn_refusals',
    'Refusals by error kind',
    ('error',),
)
CONNECTIONS_CLOSED: Final = Counter(
    'bergamotturn_connections_closed',
    'Connections of callers that were closed to stay within the limits',
    ('listener', 'reason'),
)
FIRST_TOKEN_S: Final = Histogram(
    'bergamotturn_first_token_seconds',
    'Time to first token by prompt length',
    ('prompt_tokens',),
    buckets=(0.05, 0.1, 0.2, 0.4, 0.8, 1.7, 3.5, 7, 15, 30, 60, 120),
)
RELAYED: Final = Counter(
    'bergamotturn_relayed',
    'Relayed requests by service and outcome',
    ('service', 'outcome'),
)
ATTEMPTS: Final = Counter(
    'bergamotturn_attempts',
    'Relayed requests sent to endpoints, by service and deciding rule',
    ('service', 'rule'),
)
RELAY_REFUSALS: Final = Counter(
    'bergamotturn_relay_refusals',
    'Relayed requests that were refused, by the rule that decided',
    ('service', 'reason'),
)
ENDPOINT_FAULTS: Final = Counter(
    'bergamotturn_endpoint_faults',
    'Faults of endpoints that this instance met',
    ('fault',),
)
ENDPOINTS_EJECTED: Final = Gauge(
    'bergamotturn_endpoints_alone',
    'Listed endpoints that get nothing because they failed',
    _SERVICE_LABELS,
)
ENDPOINTS_SLOW: Final = Gauge(
    'bergamotturn_endpoints_slow',
    'Endpoints that learned costs show to be slower than others',
    _SERVICE_LABELS,
)
ESTIMATE_RATIO: Final = Histogram(
    'bergamotturn_estimate_ratio',
    'Observed over expected time to a first event, or to the end of a call',
    _SERVICE_LABELS,
    buckets=(0.25, 0.5, 0.75, 1, 1.5, 2, 3, 5, 8),
)
RETRIES_LEFT: Final = Gauge(
    'bergamotturn_repeats_left',
    'Requests that this instance may send once more now',
    _SERVICE_LABELS,
)
RATE_PERMITS: Final = Counter(
    'bergamotturn_rate_permits',
    'Requests for permits under the rate limits of endpoints, by outcome',
    ('outcome',),
)
RESERVATIONS: Final = Gauge(
    'bergamotturn_reservations',
    'Requests of this instance with memory reserved or asked for',
)
MEMBERS: Final = Gauge(
    'bergamotturn_members', 'Instances by what is believed of them', ('state',)
)
PARTS_QUARANTINED: Final = Gauge(
    'bergamotturn_prompt_parts_quarantined',
    'Prompt parts in quarantine, because engines crashed on them',
)
STORE_ERA: Final = Gauge(
    'bergamotturn_store_era',
    'Era of the store, which rises each time it is restored from a copy',
)
STORE_ERA.set(1)
TABLE_AGE_S: Final = Gauge(
    'bergamotturn_table_age_seconds',
    'Time since the store last answered for a table, -1 before it ever did',
    ('table',),
)
TABLE_BEHIND_S: Final = Gauge(
    'bergamotturn_table_behind_seconds',
    'Time for which the copy of a table is known to be behind the store',
    ('table',),
)
SENT_AFTER_S: Final = Histogram(
    'bergamotturn_sent_after_seconds',
    'Time from a request to its first sending',
    ('service',),
    buckets=(0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 1, 5),
)
ENDED_AFTER_S: Final = Histogram(
    'bergamotturn_ended_after_seconds',
    'Time from a request to the end of its answer',
    ('service',),
    buckets=(0.05, 0.1, 0.2, 0.3, 0.5, 1, 1.5, 3, 4, 6, 10, 15),
)
FIRST_EVENT_S: Final = Histogram(
    'bergamotturn_first_event_seconds',
    'Time from a request to the first event of its answer',
    ('service',),
    buckets=(0.05, 0.1, 0.2, 0.3, 0.5, 1, 1.5, 3, 4, 6, 10, 15),
)
LOG_LINES: Final = Counter(
    'bergamotturn_log_lines', 'Log lines written or waiting'
)
LOG_LINES_DROPPED: Final = Counter(
    'bergamotturn_log_lines_left_out',
    'Log lines left out because of their number or a reader that stalls',
    ('type',),
)
IN_FLIGHT: Final = Gauge('bergamotturn_in_flight', 'Requests in flight')
RECORDS_UNWRITTEN: Final = Gauge(
    'bergamotturn_records_unwritten',
    'Answered calls whose idempotency record is not yet finished',
)
RECORDS_GIVEN_UP: Final = Counter(
    'bergamotturn_records_given_up',
    'Idempotency records left unfinished by a planned stop',
)
RESULTS_SWEPT: Final = Counter(
    'bergamotturn_results_swept',
    'Expired results of idempotent calls dropped by the sweep',
)
PERMITS: Final = Counter(
    'bergamotturn_permits',
    'Permit events at coordinators',
    ('event',),
)
STREAM_EVENTS: Final = Counter(
    'bergamotturn_stream_events',
    'Resumes, dropped chunks, retries and cancels',
    ('event',),
)
GROUPS: Final = Counter(
    'bergamotturn_groups',
    'Reservations of several engines for one prompt, by outcome',
    ('outcome',),
)
STORE_OPERATIONS: Final = Counter(
    'bergamotturn_store_operations',
    'Operations on the platform by outcome',
    ('operation', 'outcome'),
)
PEER_BYTES: Final = Counter(
    'bergamotturn_peer_bytes',
    'Bytes between instances',
    ('direction',),
)
CELLS_SHORT: Final = Gauge(
    'bergamotturn_cells_short',
    'Cells whose instances use the engines of other cells as their own',
)
CONFIGURATION_VERSION: Final = Gauge(
    'bergamotturn_configuration_version',
    'Configuration version in force',
)
INVARIANT_BREACHES: Final = Counter(
    'bergamotturn_invariant_breaches',
    'Broken invariants',
    ('invariant',),
)


def prompt_bucket(prompt_tokens: int) -> str:
    """Return the label of the bucket that contains ``prompt_tokens``."""
    index = bisect_left(_PROMPT_BUCKETS_TOKENS, prompt_tokens)
    if index == len(_PROMPT_BUCKETS_TOKENS):
        return 'more'
    return str(_PROMPT_BUCKETS_TOKENS[index])
