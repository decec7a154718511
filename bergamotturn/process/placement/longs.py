"""Where long requests go, and how many engines read a prompt.

Load that this answers: prompts that one engine would read for seconds, some
larger than its memory, several at once, beside many shorts. The time to read
grows with the square of the prompt, and a prompt that several engines read in
equal parts costs them no more together than it costs one.

A part delays what its engine reads and writes: an engine reads the newest part
first, and what it reads in a pass lengthens the pauses of its answers. Where
answers are written, a part waits for a pass of many steps. So a prompt goes to
engines where its part makes nothing late, as far as there are any: the more
engines, the smaller the part. Shorts fill engines from the front of the common
order, longs from its end.
"""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Final, final

from ...errors import ErrorKind
from .plan import Candidate, CoReader, Need, Plan, Refusal

__all__ = ('place_long',)

#: Most engines that a request may list, as the engines take it. The one that
#: runs it is listed too if memory is reserved there.
_MOST_LISTED: Final = 16
#: Part of the objective in which a prompt should be read: what is left bears
#: passes under way, work that others send meanwhile, and the first event.
_READ_SHARE: Final = 0.35
#: Part of the objective up to which fewer engines are better than others'
#: answers made late.
_ACCEPTED_SHARE: Final = 0.7
#: Least reading time of a part: below it the passes of other work and the
#: hops between engines take longer than the part.
_LEAST_PART_S: Final = 0.05
#: Engines that are left to the next shorts as long as others suffice.
_SPARE_ENGINES: Final = 1
#: Part of the slack of other work that a part may use; the rest is for errors
#: of the estimate and for what others send at the same moment.
_USED_SLACK: Final = 0.8
#: Memory is kept in blocks; rounding costs each holder less than this.
_BLOCK_TOKENS: Final = 64


@final
@dataclass(slots=True, frozen=True)
class _Division:
    """Engines that read a prompt together.

    :param part_s: time in which each reads its part.
    :param finish_s: time until the last part is read.
    :param harmed: engines at which the part makes something late.
    :param delayed: engines that read something else.
    """

    runner: Candidate
    readers: tuple[Candidate, ...]
    part_s: float
    finish_s: float
    harmed: int
    delayed: int

    @property
    def engines(self) -> tuple[Candidate, ...]:
        """Return all engines that take part."""
        return (self.runner, *self.readers)


@final
@dataclass(slots=True, frozen=True)
class _View:
    """An engine as one prompt sees it.

    :param kv_free: memory that nobody uses.
    :param unread_s: time that it still reads.
    :param slack_s: reading that makes nothing late that is read here.
    :param pause_s: reading that makes no answer here pause too long.
    :param pass_s: a pass that writes the answers that run here, 0 for none.
    :param is_spare: whether shorts would use it next.
    """

    candidate: Candidate
    kv_free: int
    needed_tokens: int
    unread_s: float
    slack_s: float
    pause_s: float
    pass_s: float
    is_spare: bool

    @classmethod
    def of(
        cls, now_s: float, need: Need, candidate: Candidate, *, is_spare: bool
    ) -> '_View':
        """Return the view of ``candidate``."""
        load = candidate.load
        pass_s: float = 0
        if load.writers:
            pass_s = need.engine.pass_s(load.writers, load.kv_tokens)
        return cls(
            candidate,
            max(0, candidate.kv_free(need.engine)),
            need.kv_tokens,
            load.unread_s(now_s),
            _USED_SLACK * load.slack_s(now_s),
            _USED_SLACK * (load.pause_left_s(now_s) - pass_s),
            pass_s,
            is_spare,
        )

    def is_harmed(self, part_s: float) -> bool:
        """Return whether a part makes something late here."""
        return part_s > min(self.slack_s, self.pause_s)

    def finish_s(self, part_s: float) -> float:
        """Return when a part is read here."""
        if not self.pass_s:
            return part_s
        # It waits for a pass, and its end shows at the end of another.
        return self.unread_s + self.pass_s + part_s

    def runner_order(self, part_s: float) -> tuple[bool, bool, float, int, int]:
        """Prefer memory, then nothing made late, then the earliest end."""
        load = self.candidate.load
        lacks_memory = self.kv_free < self.needed_tokens
        return (
            lacks_memory,
            self.is_harmed(part_s) or self.is_spare or load.shorts > 0,
            round(self.unread_s, 1),
            -load.longs,
            -self.candidate.rank,
        )

    def reader_order(self, part_s: float) -> tuple[bool, bool, float, int]:
        """Prefer engines that nothing is made late at, then those that rest.

        Where an answer is written, a part is done at the end of a pass.
        """
        return (
            self.is_harmed(part_s),
            self.is_spare,
            round(self.unread_s + self.pass_s, 2),
            -self.candidate.rank,
        )


def place_long(
    now_s: float, need: Need, candidates: Sequence[Candidate]
) -> Plan | Refusal:
    """Return the engine that runs a prompt, and those that read along."""
    warm = [known for known in candidates if not known.is_cold]
    usable = warm or list(candidates)
    home = [known for known in usable if known.is_home]
    division = _best(need, tuple(_divisions(now_s, need, home)))
    if len(home) < len(usable) and not _is_good(need, division):
        # Shorts elsewhere are not known here.
        division = _best(need, tuple(_divisions(now_s, need, usable)))
    if division is None:
        return _no_memory(need, usable)
    if division.finish_s > need.left_s:
        return Refusal(
            kind=ErrorKind.deadline_unreachable,
            retry_after_s=division.finish_s - need.left_s,
            reason='no_engines_in_time',
            inputs={
                'finish_s': round(division.finish_s, 3),
                'engines': len(usable),
            },
        )
    return _plan(need, division)


def _best(need: Need, divisions: Sequence[_Division]) -> _Division | None:
    """Return the fewest engines in good time that make nothing late.

    If there are none, what is in time and makes least late and delays least.
    """
    accepted_s = _ACCEPTED_SHARE * need.objective_s
    for division in divisions:
        if _is_good(need, division):
            return division
    in_time = [known for known in divisions if known.finish_s <= accepted_s]
    return min(
        in_time or divisions,
        key=lambda known: (known.harmed, known.delayed, known.finish_s),
        default=None,
    )


def _is_good(need: Need, division: _Division | None) -> bool:
    """Return whether a division is in good time and makes nothing late."""
    if division is None or division.harmed:
        return False
    return division.finish_s <= _READ_SHARE * need.objective_s


def _divisions(
    now_s: float, need: Need, candidates: Sequence[Candidate]
) -> Iterator[_Division]:
    """Return the best division for each number of engines."""
    views = _views(now_s, need, candidates)
    most = min(_MOST_LISTED, int(need.read_s / _LEAST_PART_S))
    for readers in range(min(most, len(views) - 1) + 1):
        division = _division(need, views, readers)
        if division is not None:
            yield division


def _division(
    need: Need, views: Sequence[_View], readers: int
) -> _Division | None:
    """Return the division over one engine and ``readers`` others."""
    part_s = need.read_s / (1 + readers)
    runner = min(views, key=lambda view: view.runner_order(part_s))
    others = [view for view in views if view is not runner]
    others.sort(key=lambda view: view.reader_order(part_s))
    chosen = others[:readers]
    is_listed = runner.kv_free < need.kv_tokens
    if is_listed + readers > _MOST_LISTED:
        return None
    if not _has_memory(need, runner, chosen):
        return None
    engines = (runner, *chosen)
    finish_s = max(view.finish_s(part_s) for view in engines)
    harmed = sum(view.is_harmed(part_s) for view in engines)
    return _Division(
        runner.candidate,
        tuple(view.candidate for view in chosen),
        part_s,
        finish_s,
        harmed,
        sum(view.unread_s > 0 for view in engines),
    )


def _views(
    now_s: float, need: Need, candidates: Sequence[Candidate]
) -> list[_View]:
    free = sorted(
        (known for known in candidates if not known.load.shorts), key=_rank
    )
    spare = {known.rank for known in free[:_SPARE_ENGINES]}
    return [
        _View.of(now_s, need, known, is_spare=known.rank in spare)
        for known in candidates
    ]


def _has_memory(need: Need, runner: _View, readers: Sequence[_View]) -> bool:
    if runner.kv_free >= need.kv_tokens:
        return True
    free = [runner.kv_free, *(view.kv_free for view in readers)]
    return sum(free) >= need.kv_tokens + _BLOCK_TOKENS * len(free)


def _plan(need: Need, division: _Division) -> Plan:
    runner, engine = division.runner, need.engine
    own_tokens = 0
    held: dict[str, int] = {}
    if runner.kv_free(engine) < need.kv_tokens:
        own_tokens = runner.kv_free(engine)
        wanted = need.kv_tokens - own_tokens
        held = _hold(need, division.readers, wanted)
    return Plan(
        entry=runner.entry,
        co_readers=tuple(
            CoReader(known.entry, held.get(known.entry.endpoint_id, 0))
            for known in division.readers
        ),
        own_kv_tokens=own_tokens,
        part_s=division.part_s,
        first_s=division.finish_s,
        reason='divided' if division.readers else 'alone',
        inputs={
            'engines': len(division.engines),
            'read_s': round(need.read_s, 3),
            'wait_s': round(division.finish_s - division.part_s, 3),
            'runner_longs': runner.load.longs,
            'shorts': sum(known.load.shorts for known in division.engines),
            'harmed': division.harmed,
        },
    )


def _hold(
    need: Need, others: Sequence[Candidate], wanted: int
) -> dict[str, int]:
    """Spread ``wanted`` tokens of memory over the engines with most of it."""
    held: dict[str, int] = {}
    engine = need.engine
    largest = sorted(others, key=lambda known: -known.kv_free(engine))
    for known in largest:
        if wanted <= 0:
            break
        tokens = min(known.kv_free(engine), wanted + _BLOCK_TOKENS)
        held[known.entry.endpoint_id] = tokens
        wanted -= tokens - _BLOCK_TOKENS
    return held


def _no_memory(need: Need, candidates: Sequence[Candidate]) -> Refusal:
    whole = len(candidates) * need.engine.kv_tokens
    if need.kv_tokens > whole:
        return Refusal(
            kind=ErrorKind.prompt_too_long,
            reason='larger_than_all_engines',
            inputs={'kv_tokens': need.kv_tokens, 'whole': whole},
        )
    return Refusal(
        kind=ErrorKind.overloaded,
        retry_after_s=1,
        reason='no_memory',
        inputs={'kv_tokens': need.kv_tokens, 'engines': len(candidates)},
    )


def _rank(candidate: Candidate) -> int:
    return candidate.rank
