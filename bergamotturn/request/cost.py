"""Cost and class of a request, in tokens and KV memory."""

from collections.abc import Iterable
from typing import Final

from ..connection.peer_messages import Cost, WorkClass
from ..version.configuration import EndpointSettings, Policy

__all__ = (
    'classify',
    'cost_of',
    'group_size',
    'largest_kv_tokens',
    'prompt_tokens_of',
    'share_of',
)

#: Characters that the platform's engines count as one token of a prompt.
_CHARACTERS_PER_TOKEN: Final = 4


def prompt_tokens_of(prompt: str) -> int:
    """Return the token count of ``prompt``: its length / 4, rounded up."""
    return -(-len(prompt) // _CHARACTERS_PER_TOKEN)


def cost_of(prompt_tokens: int, max_tokens: int) -> Cost:
    """Return the maximum cost, with KV memory for prompt and output."""
    return Cost(
        prompt_tokens=prompt_tokens,
        output_tokens=max_tokens,
        kv_tokens=prompt_tokens + max_tokens,
    )


def largest_kv_tokens(endpoints: Iterable[EndpointSettings]) -> int:
    """Return the KV memory of the largest of ``endpoints``, 0 for none."""
    return max((endpoint.kv_tokens for endpoint in endpoints), default=0)


def classify(
    cost: Cost, policy: Policy, endpoints: Iterable[EndpointSettings]
) -> str:
    """Return the class of a request, one of :class:`WorkClass`.

    A request that is not short must fit into the memory that an engine leaves
    to long requests, else no engine would ever admit it.

    :param endpoints: all endpoints of the deployment.
    """
    largest = largest_kv_tokens(endpoints)
    is_short = cost.prompt_tokens <= policy.long_prompt_tokens
    if is_short and cost.kv_tokens <= largest:
        return WorkClass.short
    if cost.kv_tokens <= policy.long_kv_tokens(largest):
        return WorkClass.long
    return WorkClass.group


def group_size(cost: Cost, kv_tokens: int) -> int:
    """Return how many engines the request needs, at least 1.

    :param kv_tokens: KV memory that a group may use of each engine.
    :returns: 0 when engines have no KV memory, so that none can hold it.
    """
    if kv_tokens <= 0:
        return 0
    return max(1, -(-cost.kv_tokens // kv_tokens))


def share_of(cost: Cost, engines: int) -> Cost:
    """Return the cost at each of ``engines`` that share a request.

    The total memory is divided and rounded up once: parts that are rounded up
    one by one could need more than the engines have.
    """
    return Cost(
        prompt_tokens=-(-cost.prompt_tokens // engines),
        output_tokens=-(-cost.output_tokens // engines),
        kv_tokens=-(-cost.kv_tokens // engines),
    )
