"""Placement of long requests, and how many engines prefill a prompt.

Designed for prompts whose prefill takes one engine seconds, some of them larger
than its memory, several at once and beside many short requests. Prefill time
grows with the square of the prompt length. Several engines that prefill equal
parts of a prompt spend no more time on it in total than one engine would.

A part delays the other work of its engine: an engine prefills the newest part
first, and what it prefills in a pass widens the token gaps of its answers. On
an engine that decodes answers, a part waits for a pass of many steps. A prompt
therefore goes to engines where its part makes no other work late, as far as
there are any: the more engines, the smaller the part. Shorts fill engines from
the front of the common order, longs from its end.
"""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Final, final

from ...errors import ErrorKind
from .plan import (
    PlacementCandidate,
    PlacementRequest,
    Plan,
    PrefillHelper,
    Refusal,
)

__all__ = ('place_long',)

#: Maximum number of engines that a request may list; engines refuse more. The
#: engine that runs the request is listed too if memory is reserved there.
_MAX_LISTED_ENGINES: Final = 16
#: Share of the objective within which a prefill should end. The rest covers
#: passes under way, work that others send meanwhile, and the first event.
_PREFILL_SHARE: Final = 0.35
#: Share of the objective up to which a prefill on fewer engines is preferred
#: to making other answers late.
_ACCEPTED_SHARE: Final = 0.7
#: Minimum prefill time of a part: below it, the passes of other work and the
#: hops between engines take longer than the part.
_MIN_PART_S: Final = 0.05
#: Engines that are left to the next shorts as long as others suffice.
_SPARE_ENGINES: Final = 1
#: Share of the slack of other work that a part may use. The rest covers errors
#: of the estimate and what others send at the same moment.
_SLACK_SHARE: Final = 0.8
#: Engines allocate memory in blocks; rounding costs each engine less than this.
_BLOCK_TOKENS: Final = 64


@final
@dataclass(slots=True, frozen=True)
class _PrefillSplit:
    """A prompt split into equal parts over several engines.

    :param part_s: time in which each engine prefills its part.
    :param finish_s: time until the last part is prefilled.
    :param over_slack: number of engines where the part makes other work late.
    :param busy: number of engines that have other prompts to prefill.
    """

    runner: PlacementCandidate
    helpers: tuple[PlacementCandidate, ...]
    part_s: float
    finish_s: float
    over_slack: int
    busy: int

    @property
    def engines(self) -> tuple[PlacementCandidate, ...]:
        """Return the engine that runs the request, and its helpers."""
        return (self.runner, *self.helpers)


@final
@dataclass(slots=True, frozen=True)
class _EngineState:
    """Load of one engine when a prompt is placed.

    :param kv_free: unused KV memory, in tokens.
    :param needed_tokens: KV memory that the request needs.
    :param pending_prefill_s: prefill that is left to do.
    :param slack_s: additional prefill that makes no pending prompt late.
    :param token_gap_slack_s: additional prefill that keeps every token gap
        within what its caller is promised.
    :param pass_s: a pass that decodes the current answers, 0 for none.
    :param is_spare: whether shorts would use it next.
    """

    candidate: PlacementCandidate
    kv_free: int
    needed_tokens: int
    pending_prefill_s: float
    slack_s: float
    token_gap_slack_s: float
    pass_s: float
    is_spare: bool

    @classmethod
    def of(
        cls,
        now_s: float,
        request: PlacementRequest,
        candidate: PlacementCandidate,
        *,
        is_spare: bool,
    ) -> '_EngineState':
        """Return the state of ``candidate`` for ``request``."""
        load = candidate.load
        pass_s: float = 0
        if load.decoding:
            pass_s = request.engine.pass_s(load.decoding, load.kv_tokens)
        return cls(
            candidate,
            max(0, candidate.kv_free(request.engine)),
            request.kv_tokens,
            load.pending_prefill_s(now_s),
            _SLACK_SHARE * load.prefill_slack_s(now_s),
            _SLACK_SHARE * (load.token_gap_slack_s(now_s) - pass_s),
            pass_s,
            is_spare,
        )

    def exceeds_slack(self, part_s: float) -> bool:
        """Return whether a part makes other work late here."""
        return part_s > min(self.slack_s, self.token_gap_slack_s)

    def finish_s(self, part_s: float) -> float:
        """Return the time until a part is prefilled here."""
        if not self.pass_s:
            return part_s
        # The part waits for a pass to end, and its own end becomes visible at
        # the end of another one.
        return self.pending_prefill_s + self.pass_s + part_s

    def runner_order(self, part_s: float) -> tuple[bool, bool, float, int, int]:
        """Return the sort key for the engine that runs the request.

        Enough memory comes first, then no other work made late, then the
        least pending prefill.
        """
        load = self.candidate.load
        lacks_memory = self.kv_free < self.needed_tokens
        return (
            lacks_memory,
            self.exceeds_slack(part_s) or self.is_spare or load.shorts > 0,
            round(self.pending_prefill_s, 1),
            -load.longs,
            -self.candidate.rank,
        )

    def helper_order(self, part_s: float) -> tuple[bool, bool, float, int]:
        """Return the sort key for prefill helpers.

        No other work made late comes first, then the shortest wait. A part is
        done at the end of a pass on an engine that decodes an answer.
        """
        return (
            self.exceeds_slack(part_s),
            self.is_spare,
            round(self.pending_prefill_s + self.pass_s, 2),
            -self.candidate.rank,
        )


def place_long(
    now_s: float,
    request: PlacementRequest,
    candidates: Sequence[PlacementCandidate],
) -> Plan | Refusal:
    """Return the engine that runs a request, and its prefill helpers."""
    warm = [candidate for candidate in candidates if not candidate.is_cold]
    usable = warm or list(candidates)
    own_cell = [candidate for candidate in usable if candidate.is_in_own_cell]
    split = _best_split(request, tuple(_splits(now_s, request, own_cell)))
    if len(own_cell) < len(usable) and not _is_good(request, split):
        # Other cells come second: their shorts are not known here.
        split = _best_split(request, tuple(_splits(now_s, request, usable)))
    if split is None:
        return _refuse_for_memory(request, usable)
    if split.finish_s > request.left_s:
        return Refusal(
            kind=ErrorKind.deadline_unreachable,
            retry_after_s=split.finish_s - request.left_s,
            reason='no_engines_in_time',
            inputs={
                'finish_s': round(split.finish_s, 3),
                'engines': len(usable),
            },
        )
    return _plan(request, split)


def _best_split(
    request: PlacementRequest, splits: Sequence[_PrefillSplit]
) -> _PrefillSplit | None:
    """Return the good split with the fewest engines.

    If none is good, those within the accepted time are preferred, then those
    that make work late on fewer engines, then those with fewer busy engines,
    then those that end earlier.
    """
    accepted_s = _ACCEPTED_SHARE * request.objective_s
    for split in splits:
        if _is_good(request, split):
            return split
    in_time = [option for option in splits if option.finish_s <= accepted_s]
    return min(
        in_time or splits,
        key=lambda option: (option.over_slack, option.busy, option.finish_s),
        default=None,
    )


def _is_good(request: PlacementRequest, split: _PrefillSplit | None) -> bool:
    """Return whether a split ends early enough and makes no work late."""
    if split is None or split.over_slack:
        return False
    return split.finish_s <= _PREFILL_SHARE * request.objective_s


def _splits(
    now_s: float,
    request: PlacementRequest,
    candidates: Sequence[PlacementCandidate],
) -> Iterator[_PrefillSplit]:
    """Return the best split for each number of engines."""
    states = _engine_states(now_s, request, candidates)
    max_helpers = min(_MAX_LISTED_ENGINES, int(request.prefill_s / _MIN_PART_S))
    for helper_count in range(min(max_helpers, len(states) - 1) + 1):
        split = _split(request, states, helper_count)
        if split is not None:
            yield split


def _split(
    request: PlacementRequest, states: Sequence[_EngineState], helper_count: int
) -> _PrefillSplit | None:
    """Return the split over one engine and ``helper_count`` others."""
    part_s = request.prefill_s / (1 + helper_count)
    runner = min(states, key=lambda state: state.runner_order(part_s))
    others = [state for state in states if state is not runner]
    others.sort(key=lambda state: state.helper_order(part_s))
    helpers = others[:helper_count]
    is_listed = runner.kv_free < request.kv_tokens
    if is_listed + helper_count > _MAX_LISTED_ENGINES:
        return None
    if not _has_memory(request, runner, helpers):
        return None
    engines = (runner, *helpers)
    finish_s = max(state.finish_s(part_s) for state in engines)
    over_slack = sum(state.exceeds_slack(part_s) for state in engines)
    return _PrefillSplit(
        runner.candidate,
        tuple(state.candidate for state in helpers),
        part_s,
        finish_s,
        over_slack,
        sum(state.pending_prefill_s > 0 for state in engines),
    )


def _engine_states(
    now_s: float,
    request: PlacementRequest,
    candidates: Sequence[PlacementCandidate],
) -> list[_EngineState]:
    free = sorted(
        (candidate for candidate in candidates if not candidate.load.shorts),
        key=_rank,
    )
    spare = {candidate.rank for candidate in free[:_SPARE_ENGINES]}
    return [
        _EngineState.of(
            now_s, request, candidate, is_spare=candidate.rank in spare
        )
        for candidate in candidates
    ]


def _has_memory(
    request: PlacementRequest,
    runner: _EngineState,
    helpers: Sequence[_EngineState],
) -> bool:
    if runner.kv_free >= request.kv_tokens:
        return True
    free = [runner.kv_free, *(state.kv_free for state in helpers)]
    return sum(free) >= request.kv_tokens + _BLOCK_TOKENS * len(free)


def _plan(request: PlacementRequest, split: _PrefillSplit) -> Plan:
    runner, engine = split.runner, request.engine
    own_tokens = 0
    reserved: dict[str, int] = {}
    if runner.kv_free(engine) < request.kv_tokens:
        own_tokens = runner.kv_free(engine)
        wanted = request.kv_tokens - own_tokens
        reserved = _spread_memory(request, split.helpers, wanted)
    return Plan(
        entry=runner.entry,
        prefill_helpers=tuple(
            PrefillHelper(
                candidate.entry, reserved.get(candidate.entry.endpoint_id, 0)
            )
            for candidate in split.helpers
        ),
        own_kv_tokens=own_tokens,
        part_prefill_s=split.part_s,
        expected_first_event_s=split.finish_s,
        reason='divided' if split.helpers else 'alone',
        inputs={
            'engines': len(split.engines),
            'read_s': round(request.prefill_s, 3),
            'wait_s': round(split.finish_s - split.part_s, 3),
            'runner_longs': runner.load.longs,
            'shorts': sum(candidate.load.shorts for candidate in split.engines),
            'harmed': split.over_slack,
        },
    )


def _spread_memory(
    request: PlacementRequest, others: Sequence[PlacementCandidate], wanted: int
) -> dict[str, int]:
    """Spread ``wanted`` tokens over the engines with the most free memory.

    :returns: tokens to reserve by endpoint.
    """
    reserved: dict[str, int] = {}
    engine = request.engine
    largest = sorted(others, key=lambda candidate: -candidate.kv_free(engine))
    for candidate in largest:
        if wanted <= 0:
            break
        tokens = min(candidate.kv_free(engine), wanted + _BLOCK_TOKENS)
        reserved[candidate.entry.endpoint_id] = tokens
        wanted -= tokens - _BLOCK_TOKENS
    return reserved


def _refuse_for_memory(
    request: PlacementRequest, candidates: Sequence[PlacementCandidate]
) -> Refusal:
    # Engines that are down or ejected come back; callers don't repeat a prompt
    # that is too long.
    known_engines = max(request.known_engines, len(candidates))
    total_tokens = known_engines * request.engine.kv_tokens
    if request.kv_tokens > total_tokens:
        return Refusal(
            kind=ErrorKind.prompt_too_long,
            reason='larger_than_all_engines',
            inputs={'kv_tokens': request.kv_tokens, 'whole': total_tokens},
        )
    return Refusal(
        kind=ErrorKind.overloaded,
        retry_after_s=1,
        reason='no_memory',
        inputs={'kv_tokens': request.kv_tokens, 'engines': len(candidates)},
    )


def _rank(candidate: PlacementCandidate) -> int:
    return candidate.rank
