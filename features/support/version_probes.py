"""Requests that show which version of the configuration is in force."""

from concurrent.futures import ThreadPoolExecutor
from http import HTTPStatus
from time import monotonic, sleep
from typing import Final

__all__ = (
    'BOUND_S',
    'PROBE_INTERVAL_S',
    'MAX_GAP_S',
    'explain_late',
    'late_answers',
    'longest_gap_s',
    'probe_version',
    'put_version',
)

#: Time after its acknowledgement in which a change must be in force.
BOUND_S: Final = 2.0
PROBE_INTERVAL_S: Final = 0.25
#: Longest time between lookups at an endpoint that is in use.
MAX_GAP_S: Final = 1.5
#: Version without further routes and keys.
_BASE_VERSION: Final = 1
_STARTING: Final = frozenset((0, 503))
#: Log lines of an instance that a failure shows.
_EXPLAINING_LINES: Final = 30


def put_version(fleet, version):
    """Add a route and a key, and return when that was acknowledged."""
    base = fleet.configuration(version)
    added = [
        {**base['routes'][2], 'name': f'v{each}', 'prefix': f'/v{each}/'}
        for each in range(_BASE_VERSION + 1, version + 1)
    ]
    keys = [f'key-{each}' for each in range(_BASE_VERSION + 1, version + 1)]
    fleet.put_configuration(
        version,
        routes=[*base['routes'], *added],
        tenants=[{'name': 'w', 'apiKeys': ['key-w', *keys]}],
    )
    return monotonic()


def probe_version(context, until_s, version):
    """Send requests that only a version allows to each instance in turn."""
    fleet = context.fleet
    answers = []
    due_s = context.acknowledged_s + BOUND_S
    with ThreadPoolExecutor(len(fleet.instances)) as pool:
        while due_s < until_s:
            sleep(max(0, due_s - monotonic()))
            due_s += PROBE_INTERVAL_S
            answers.extend(
                pool.map(
                    lambda name: _probe_one(context, name, version),
                    fleet.instances,
                )
            )
    return answers


def _probe_one(context, name, version):
    fleet = context.fleet
    after_s = round(monotonic() - context.acknowledged_s, 2)
    answer = fleet.send_request(
        name,
        f'/v{version}/x',
        f'{name}-{version}-{after_s}',
        X_Api_Key=f'key-{version}',
    )
    return name, after_s, answer.status


def late_answers(context, answers):
    """Return the answers that are not those of the version that was asked for.

    An instance that has just started refuses with 503 until it knows a
    configuration, and answers nothing before it listens.
    """
    return [
        answer
        for answer in answers
        if answer[-1] != HTTPStatus.OK
        and not (answer[0] in context.restarted and answer[-1] in _STARTING)
    ]


def explain_late(context, late, answers):
    """Return the late answers with what the first one's instance logged.

    Of the lines on requests, those on this answer are returned.
    """
    name, after_s, _ = late[0]
    lines = [
        line
        for line in context.fleet.log(name)
        if line.get('request', '').endswith(f'-{after_s}') or 'table' in line
    ]
    return len(late), len(answers), late[:9], lines[-_EXPLAINING_LINES:]


def longest_gap_s(arrivals, from_s, until_s):
    """Return the longest time without an arrival between the two times."""
    inside_s = [
        each['at_s'] for each in arrivals if from_s < each['at_s'] < until_s
    ]
    times_s = [from_s, *inside_s, until_s]
    return max(
        later_s - earlier_s
        for earlier_s, later_s in zip(times_s, times_s[1:], strict=False)
    )
