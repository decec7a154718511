"""Records of a load run, the checks on them and their tables."""

from collections.abc import Iterable, Mapping, Sequence
from enum import Enum, unique
from typing import Final, final

import msgspec

__all__ = (
    'ChatRecord',
    'LoadResult',
    'Outcome',
    'ServiceRecord',
    'execution_faults',
    'faults_of',
    'percentile',
    'prompt_table',
    'was_under_way',
)

#: Upper bounds of the table rows by prompt length.
_ROW_BOUNDS_TOKENS: Final = (2000, 8000, 32_000, 100_000, 300_000, 1_000_000)
#: Time after the deadline until a request counts as overrun; it covers the
#: network time of the answer and the load generator's own delays.
_OVERRUN_TOLERANCE_S: Final = 1
#: Difference allowed between the load generator's clock and the fault
#: injector's.
_CLOCK_TOLERANCE_S: Final = 0.5


@final
@unique
class Outcome(Enum):
    """How a request ended for its caller."""

    whole = 'whole'
    #: Marked complete by the instance, but not the text the engine generates.
    wrong = 'wrong'
    #: Ended with an error event after the first byte.
    cut = 'cut'
    #: Refused with an error answer that says it did not run.
    refused = 'refused'
    #: Failed with an error answer; it may have run.
    failed = 'failed'
    #: The connection ended before the answer did.
    lost = 'lost'
    #: Still open well after the deadline.
    hung = 'hung'


@final
class ChatRecord(msgspec.Struct, kw_only=True):
    """A chat request as its caller saw it.

    :param arrived_s: seconds from the start of the run.
    :param first_token_s: time from arrival to the first token, if one came.
    :param took_s: time from arrival to the end.
    :param error: error code of the last attempt, or the text of an exception.
    """

    number: int
    workspace: str
    prompt_tokens: int
    deadline_s: float
    arrived_s: float
    first_token_s: float | None = None
    took_s: float = 0
    outcome: Outcome = Outcome.hung
    error: str = ''
    not_run: bool = False
    attempts: int = 0
    address: str = ''
    call_id: str = ''

    @property
    def overran(self) -> bool:
        """Whether the request ended after its deadline."""
        return self.took_s > self.deadline_s + _OVERRUN_TOLERANCE_S


@final
class ServiceRecord(msgspec.Struct, kw_only=True):
    """A call to a plain service as its caller saw it."""

    idempotency_key: str
    workspace: str
    arrived_s: float
    took_s: float = 0
    status: int = 0
    error: str = ''
    not_run: bool = False
    attempts: int = 0
    address: str = ''


@final
class LoadResult(msgspec.Struct, kw_only=True):
    """The records and lookup counts of a run.

    :param lookups: attempts to look up the addresses of a workspace.
    :param refusals: lookups answered with an error status, by whom and how.
    """

    chats: list[ChatRecord] = msgspec.field(default_factory=list)
    calls: list[ServiceRecord] = msgspec.field(default_factory=list)
    lookups: int = 0
    refusals: list[str] = msgspec.field(default_factory=list)


def was_under_way(record: ChatRecord | ServiceRecord, at_s: float) -> bool:
    """Return whether a call was pending ``at_s`` after the load's start."""
    since_s = at_s - record.arrived_s
    return -_CLOCK_TOLERANCE_S <= since_s <= record.took_s + _CLOCK_TOLERANCE_S


def percentile(values: Iterable[float], percent: float) -> float:
    """Return the nearest-rank percentile, or NaN without values."""
    ordered = sorted(values)
    if not ordered:
        return float('nan')
    rank = -(-len(ordered) * percent // 100)
    return ordered[max(int(rank), 1) - 1]


def prompt_table(chats: Sequence[ChatRecord]) -> str:
    """Return a table of outcomes and times to first token by length."""
    lines = [
        '   prompt tokens  sent whole other overrun   p50 s   p95 s   p99 s'
    ]
    lower = 0
    for upper in _ROW_BOUNDS_TOKENS:
        row = [chat for chat in chats if lower < chat.prompt_tokens <= upper]
        if row:
            lines.append(_table_row(f'{lower + 1:,}-{upper:,}', row))
        lower = upper
    lines.append(_table_row('all', chats))
    return '\n'.join(lines)


def faults_of(chats: Sequence[ChatRecord]) -> list[str]:
    """List the requests that overran, hung or got a wrong answer."""
    return [
        f'{chat.call_id or chat.number}: {chat.outcome.value},'
        f' took {chat.took_s:.1f} s, deadline {chat.deadline_s:.0f} s'
        for chat in chats
        if chat.overran or chat.outcome in {Outcome.wrong, Outcome.hung}
    ]


def execution_faults(
    calls: Sequence[ServiceRecord], executions: Mapping[str, int]
) -> list[str]:
    """List the contradictions between answers and executions.

    A key may run at most once, a call answered with success must have run, and
    a call whose answers all say that it did not run must not have run.

    :param executions: number of runs by idempotency key.
    """
    faults = [
        f'{key} ran {times} times'
        for key, times in executions.items()
        if times > 1
    ]
    by_key: dict[str, list[ServiceRecord]] = {}
    for call in calls:
        by_key.setdefault(call.idempotency_key, []).append(call)
    for key, records in by_key.items():
        ran = executions.get(key, 0) > 0
        if not ran and any(answer.status == 200 for answer in records):
            faults.append(f'{key} was answered and did not run')
        if ran and all(answer.not_run for answer in records):
            faults.append(f'{key} ran, and its answers say "not run"')
    return faults


def _table_row(label: str, chats: Sequence[ChatRecord]) -> str:
    first_token_times = [
        chat.first_token_s for chat in chats if chat.first_token_s is not None
    ]
    complete = sum(chat.outcome is Outcome.whole for chat in chats)
    overran = sum(chat.overran for chat in chats)
    times = ' '.join(
        f'{percentile(first_token_times, each):7.3f}' for each in (50, 95, 99)
    )
    sent = len(chats)
    counts = f'{sent:5} {complete:5} {sent - complete:5} {overran:7}'
    return f'{label:>16} {counts} {times}'
