"""Plan of a load run: arrivals, prompts and calls derived from one seed."""

from random import Random
from typing import Final, final

import msgspec

from .prompts import CHARACTERS_PER_TOKEN

__all__ = (
    'Arrival',
    'LoadPlan',
    'ServiceArrival',
    'TokenRange',
    'arrivals',
    'prompt_text',
    'rate_for_load',
    'service_arrivals',
)

#: Number of common prompt prefixes of each workspace.
_PREFIXES_PER_WORKSPACE: Final = 4


@final
class TokenRange(msgspec.Struct, frozen=True):
    """A range of prompt lengths in tokens, sampled log-uniformly."""

    minimum: int
    maximum: int

    def draw(self, random: Random) -> int:
        """Return a random length."""
        if not self.maximum > self.minimum:
            return self.minimum
        ratio = self.maximum / self.minimum
        return int(self.minimum * ratio ** random.random())


@final
class LoadPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of an open-loop load.

    :param shorts: prompt lengths of short requests, which are the majority.
    :param middles: prompt lengths of medium requests, one in
        ``middle_every``; 0 means none.
    :param longs: prompt lengths of long requests, one in ``long_every``; 0
        means none.
    :param scale: a prompt of ``n`` tokens is sent as ``n / scale`` tokens of
        four characters, since a million tokens at scale 1 are 4 MB on every
        connection. Records and tables show the length as sent.
    :param prefix_tokens: length of the common prompt prefixes.
    :param deadline_s: sent as ``X-Request-Timeout-S``.
    :param long_deadline_s: the same for long requests.
    :param entries_ttl_s: how long an answer of ``/v1/entries`` is cached.
    :param service: plain service to call, empty for none.
    :param repeat_every: one call in this many is sent twice with the same
        idempotency key.
    """

    seed: int
    duration_s: float
    requests_per_s: float
    model: str
    workspaces: tuple[str, ...]
    shorts: TokenRange = TokenRange(1000, 2000)
    middles: TokenRange = TokenRange(2000, 32_000)
    longs: TokenRange = TokenRange(100_001, 1_000_000)
    middle_every: int = 0
    long_every: int = 50
    scale: float = 1
    prefix_tokens: int = 512
    max_tokens: int = 32
    deadline_s: float = 60
    long_deadline_s: float = 120
    entries_ttl_s: float = 5
    service: str = ''
    calls_per_s: float = 0
    call_deadline_s: float = 10
    repeat_every: int = 4


@final
class Arrival(msgspec.Struct, frozen=True, kw_only=True):
    """A planned chat request.

    :param at_s: seconds from the start of the run.
    """

    number: int
    at_s: float
    workspace: str
    prompt_tokens: int
    prefix_number: int
    deadline_s: float


@final
class ServiceArrival(msgspec.Struct, frozen=True, kw_only=True):
    """A planned service call; duplicates share its idempotency key."""

    at_s: float
    workspace: str
    idempotency_key: str


def arrivals(plan: LoadPlan) -> list[Arrival]:
    """Return the chat requests of a run in order of arrival."""
    random = Random(plan.seed)
    times = _arrival_times(random, plan.requests_per_s, plan.duration_s)
    return [
        _arrival(plan, random, number, at_s)
        for number, at_s in enumerate(times, 1)
    ]


def rate_for_load(plan: LoadPlan, tokens_per_s: float) -> float:
    """Return the request rate at which prompts sum to ``tokens_per_s``."""
    # Only the mean prompt length is needed, so the sample has to be long but
    # may have any rate.
    sample = arrivals(
        msgspec.structs.replace(plan, requests_per_s=1, duration_s=50_000)
    )
    mean_tokens = sum(each.prompt_tokens for each in sample) / len(sample)
    return tokens_per_s / mean_tokens


def service_arrivals(plan: LoadPlan) -> list[ServiceArrival]:
    """Return the calls to the plain service in order of arrival."""
    random = Random(f'{plan.seed}/calls')
    calls = []
    times = _arrival_times(random, plan.calls_per_s, plan.duration_s)
    for number, at_s in enumerate(times, 1):
        call = ServiceArrival(
            at_s=at_s,
            workspace=random.choice(plan.workspaces),
            idempotency_key=f'call-{plan.seed}-{number}',
        )
        calls.append(call)
        if number % plan.repeat_every == 0:
            repeated_at_s = at_s + random.random()
            calls.append(msgspec.structs.replace(call, at_s=repeated_at_s))
    return sorted(calls, key=lambda each: each.at_s)


def prompt_text(plan: LoadPlan, arrival: Arrival) -> str:
    """Return the prompt of an arrival: a common prefix, then unique text."""
    characters = arrival.prompt_tokens * CHARACTERS_PER_TOKEN
    prefix = _repeat_to_length(
        f'{arrival.workspace} instructions {arrival.prefix_number}. ',
        min(plan.prefix_tokens * CHARACTERS_PER_TOKEN, characters // 2),
    )
    own_text = f'request {plan.seed}/{arrival.number}. '
    return prefix + _repeat_to_length(own_text, characters - len(prefix))


def _arrival_times(
    random: Random, rate: float, duration_s: float
) -> list[float]:
    times = []
    at_s = random.expovariate(rate) if rate else duration_s
    while at_s < duration_s:
        times.append(at_s)
        at_s += random.expovariate(rate)
    return times


def _arrival(
    plan: LoadPlan, random: Random, number: int, at_s: float
) -> Arrival:
    tokens = plan.shorts.draw(random)
    # All lengths are drawn each time, so that a run without long requests has
    # the same short ones.
    middle = plan.middles.draw(random)
    long = plan.longs.draw(random)
    workspace = random.choice(plan.workspaces)
    prefix_number = random.randrange(_PREFIXES_PER_WORKSPACE)
    is_long = _is_drawn(plan.long_every, plan.seed, number)
    if is_long:
        tokens = long
    elif _is_drawn(plan.middle_every, plan.seed, number):
        tokens = middle
    return Arrival(
        number=number,
        at_s=at_s,
        workspace=workspace,
        prompt_tokens=max(1, int(tokens / plan.scale)),
        prefix_number=prefix_number,
        deadline_s=plan.long_deadline_s if is_long else plan.deadline_s,
    )


def _is_drawn(every: int, seed: int, number: int) -> bool:
    """Return whether this request is the one drawn from its block.

    A block is ``every`` consecutive requests. Were it the last of each block,
    round robin would send them all to the same engine.
    """
    if not every:
        return False
    block, index = divmod(number, every)
    return Random(f'{seed}/{every}/{block}').randrange(every) == index


def _repeat_to_length(text: str, characters: int) -> str:
    times = -(-characters // len(text))
    return (text * times)[:characters]
