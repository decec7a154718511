"""Typed records of a load run, and the tables made from them."""

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

#: Upper bounds of the rows of a table by prompt length, in tokens.
_BOUNDS_TOKENS: Final = (2000, 8000, 32_000, 100_000, 300_000, 1_000_000)
#: An answer may come so late after its deadline before it counts as an
#: overrun; it covers the way back and the load tool's own delays.
_OVERRUN_S: Final = 1
#: Between the clock of the load and that of its faults.
_TOLERANCE_S: Final = 0.5


@final
@unique
class Outcome(Enum):
    """How a call ended for its caller."""

    whole = 'whole'
    #: Called whole by the instance, but not what the engine must make.
    wrong = 'wrong'
    #: Ended with an error event after the first byte.
    cut = 'cut'
    refused = 'refused'
    failed = 'failed'
    #: The connection ended before the answer did.
    lost = 'lost'
    #: No end came by well after the deadline.
    hung = 'hung'


@final
class ChatRecord(msgspec.Struct, kw_only=True):
    """One chat request as its caller saw it.

    :param arrived_s: seconds from the start of the run.
    :param first_token_s: from its arrival to its first token, if one came.
    :param took_s: from its arrival to its end.
    :param error: code of the last refusal or failure, or an error's text.
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
        """Return whether its end came after its deadline."""
        return self.took_s > self.deadline_s + _OVERRUN_S


@final
class ServiceRecord(msgspec.Struct, kw_only=True):
    """One call to a plain service as its caller saw it."""

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
    """All records of a run."""

    chats: list[ChatRecord] = msgspec.field(default_factory=list)
    calls: list[ServiceRecord] = msgspec.field(default_factory=list)
    lookups: int = 0
    refused_lookups: int = 0


def was_under_way(record: ChatRecord | ServiceRecord, at_s: float) -> bool:
    """Return whether a call ran ``at_s`` seconds after the load's start."""
    since_s = at_s - record.arrived_s
    return -_TOLERANCE_S <= since_s <= record.took_s + _TOLERANCE_S


def percentile(values: Iterable[float], percent: float) -> float:
    """Return the nearest-rank percentile, not a number for no values."""
    ordered = sorted(values)
    if not ordered:
        return float('nan')
    rank = -(-len(ordered) * percent // 100)
    return ordered[max(int(rank), 1) - 1]


def prompt_table(chats: Sequence[ChatRecord]) -> str:
    """Return time to first token and outcomes by prompt length."""
    lines = [
        '   prompt tokens  sent whole other overrun   p50 s   p95 s   p99 s'
    ]
    least = 0
    for most in _BOUNDS_TOKENS:
        row = [chat for chat in chats if least < chat.prompt_tokens <= most]
        if row:
            lines.append(_table_row(f'{least + 1:,}-{most:,}', row))
        least = most
    lines.append(_table_row('all', chats))
    return '\n'.join(lines)


def faults_of(chats: Sequence[ChatRecord]) -> list[str]:
    """Return what no caller may see: wrong answers, overruns and silence."""
    return [
        f'{chat.call_id or chat.number}: {chat.outcome.value},'
        f' {chat.took_s:.1f} s of {chat.deadline_s:.0f} s'
        for chat in chats
        if chat.overran or chat.outcome in {Outcome.wrong, Outcome.hung}
    ]


def execution_faults(
    calls: Sequence[ServiceRecord], executions: Mapping[str, int]
) -> list[str]:
    """Return where answers and executions contradict each other.

    A key may run at most once, an answered call must have run, and a call
    whose answers all say that it did not run must not have run.
    """
    found = [
        f'{key} ran {times} times'
        for key, times in executions.items()
        if times > 1
    ]
    by_key: dict[str, list[ServiceRecord]] = {}
    for call in calls:
        by_key.setdefault(call.idempotency_key, []).append(call)
    for key, answers in by_key.items():
        ran = executions.get(key, 0) > 0
        if not ran and any(answer.status == 200 for answer in answers):
            found.append(f'{key} was answered and did not run')
        if ran and all(answer.not_run for answer in answers):
            found.append(f'{key} ran, and its answers say "not run"')
    return found


def _table_row(label: str, chats: Sequence[ChatRecord]) -> str:
    first = [
        chat.first_token_s for chat in chats if chat.first_token_s is not None
    ]
    whole = sum(chat.outcome is Outcome.whole for chat in chats)
    overran = sum(chat.overran for chat in chats)
    times = ' '.join(f'{percentile(first, each):7.3f}' for each in (50, 95, 99))
    sent = len(chats)
    counts = f'{sent:5} {whole:5} {sent - whole:5} {overran:7}'
    return f'{label:>16} {counts} {times}'
