"""What a load run sends: arrivals, prompts and calls, all from one seed."""

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

#: Callers of a workspace start their prompts with one of so many texts.
_PREFIXES: Final = 4


@final
class TokenRange(msgspec.Struct, frozen=True):
    """Prompt lengths, drawn evenly on a logarithmic scale."""

    least: int
    most: int

    def draw(self, random: Random) -> int:
        """Return a length."""
        if not self.most > self.least:
            return self.least
        ratio = self.most / self.least
        return int(self.least * ratio ** random.random())


@final
class LoadPlan(msgspec.Struct, frozen=True, kw_only=True):
    """An open-loop load.

    :param shorts: lengths of most prompts.
    :param middles: lengths of one other in ``middle_every``, 0 for none.
    :param longs: lengths of one prompt in ``long_every``, 0 for none.
    :param scale: a prompt of ``n`` tokens is sent as ``n / scale`` tokens of
        four characters. At 1 a million tokens is 4 MB on each of its ways;
        records and tables show the length as sent.
    :param prefix_tokens: length of the texts that prompts have in common.
    :param deadline_s: asked for with ``X-Request-Timeout-S``.
    :param keep_s: how long an answer of ``/v1/entries`` is used.
    :param service: plain service to call, none when empty.
    :param repeat_every: one call in so many is sent twice with its key.
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
    keep_s: float = 5
    service: str = ''
    calls_per_s: float = 0
    call_deadline_s: float = 10
    repeat_every: int = 4


@final
class Arrival(msgspec.Struct, frozen=True, kw_only=True):
    """One chat request.

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
    """One call to a plain service; repeats have the same key."""

    at_s: float
    workspace: str
    idempotency_key: str


def arrivals(plan: LoadPlan) -> list[Arrival]:
    """Return the chat requests of a run, in order of time."""
    random = Random(plan.seed)
    times = _times(random, plan.requests_per_s, plan.duration_s)
    return [
        _arrival(plan, random, number, at_s)
        for number, at_s in enumerate(times, 1)
    ]


def rate_for_load(plan: LoadPlan, tokens_per_s: float) -> float:
    """Return the requests a second whose prompts are ``tokens_per_s``."""
    # The sample at one request a second only has to be long.
    sample = arrivals(
        msgspec.structs.replace(plan, requests_per_s=1, duration_s=50_000)
    )
    mean_tokens = sum(each.prompt_tokens for each in sample) / len(sample)
    return tokens_per_s / mean_tokens


def service_arrivals(plan: LoadPlan) -> list[ServiceArrival]:
    """Return the calls to the plain service, in order of time."""
    random = Random(f'{plan.seed}/calls')
    calls = []
    times = _times(random, plan.calls_per_s, plan.duration_s)
    for number, at_s in enumerate(times, 1):
        call = ServiceArrival(
            at_s=at_s,
            workspace=random.choice(plan.workspaces),
            idempotency_key=f'call-{plan.seed}-{number}',
        )
        calls.append(call)
        if number % plan.repeat_every == 0:
            later_s = at_s + random.random()
            calls.append(msgspec.structs.replace(call, at_s=later_s))
    return sorted(calls, key=lambda each: each.at_s)


def prompt_text(plan: LoadPlan, arrival: Arrival) -> str:
    """Return the prompt of an arrival, unique after its common prefix."""
    characters = arrival.prompt_tokens * CHARACTERS_PER_TOKEN
    prefix = _repeated(
        f'{arrival.workspace} instructions {arrival.prefix_number}. ',
        min(plan.prefix_tokens * CHARACTERS_PER_TOKEN, characters // 2),
    )
    own = f'request {plan.seed}/{arrival.number}. '
    return prefix + _repeated(own, characters - len(prefix))


def _times(random: Random, rate: float, duration_s: float) -> list[float]:
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
    # All are drawn each time, so that a run without longs has the same shorts.
    middle = plan.middles.draw(random)
    long = plan.longs.draw(random)
    workspace = random.choice(plan.workspaces)
    prefix_number = random.randrange(_PREFIXES)
    is_long = _is_one_in(plan.long_every, plan.seed, number)
    if is_long:
        tokens = long
    elif _is_one_in(plan.middle_every, plan.seed, number):
        tokens = middle
    return Arrival(
        number=number,
        at_s=at_s,
        workspace=workspace,
        prompt_tokens=max(1, int(tokens / plan.scale)),
        prefix_number=prefix_number,
        deadline_s=plan.long_deadline_s if is_long else plan.deadline_s,
    )


def _is_one_in(every: int, seed: int, number: int) -> bool:
    """Return whether this is the one drawn from its ``every`` requests.

    Each last of fifty would meet the same engine again and again under round
    robin.
    """
    if not every:
        return False
    block, place = divmod(number, every)
    return Random(f'{seed}/{every}/{block}').randrange(every) == place


def _repeated(text: str, characters: int) -> str:
    times = -(-characters // len(text))
    return (text * times)[:characters]
