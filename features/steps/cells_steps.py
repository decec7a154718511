"""Steps for the cells of a large fleet."""

from collections import Counter
from dataclasses import replace as replace_fields
from random import Random

from behave import given, then, when
from msgspec.structs import replace

from bergamotturn.connection.exchange import Address
from bergamotturn.connection.peer_messages import MemberState, MemberUpdate
from bergamotturn.process.endpoints.cells import Cells
from bergamotturn.process.placement.policies import PackedPlacement
from features.steps.placement_steps import (
    _add_plan_to_load,
    _prefill_engine_ids,
)
from features.support.relay_samples import candidates, engine_request, entry

_ADDRESS = Address('10.0.0.1', 80)


@given(
    '{instances:d} instances and {endpoints:d} endpoints in {centres:d} data '
    'centres'
)
def fleet(context, instances, endpoints, centres):
    context.members = [
        MemberUpdate(
            instance=f'i-{number}',
            boot_id='b',
            data_centre=f'dc-{number % centres}',
            incarnation=1,
            state=MemberState.alive,
            caller_address=_ADDRESS,
            peer_address=_ADDRESS,
            operator_address=_ADDRESS,
        )
        for number in range(instances)
    ]
    context.entries = [
        entry(f'e-{number}', data_centre=f'dc-{number % centres}')
        for number in range(endpoints)
    ]
    _divide(context)


@given('{count:d} idle engines of which {own:d} are in the own cell')
def engines_in_own_cell(context, count, own):
    found = candidates(count)
    context.own_cell = {
        known.entry.endpoint_id for known in found[: 4 * own : 4]
    }
    context.candidates = [
        replace_fields(
            known, is_in_own_cell=known.entry.endpoint_id in context.own_cell
        )
        for known in found
    ]
    context.policy = PackedPlacement('a')
    context.random = Random(1)
    context.now_s = 100.0
    context.plans = []


@when('one of another cell dies')
def one_dies(context):
    own = context.views['i-0']
    context.before = dict(_cells(context))
    context.dead = next(
        member.instance
        for member in context.members
        if own.cell_of_instance(member.instance) != own.cell_of_instance('i-0')
    )
    context.members = [
        replace(member, state=MemberState.dead)
        if member.instance == context.dead
        else member
        for member in context.members
    ]
    _divide(context)


@when('a long of {tokens:d} tokens is placed')
def place_long(context, tokens):
    need = engine_request(tokens)
    plan = context.policy.choose(
        context.now_s, need, context.candidates, context.random
    )
    context.plans.append(plan)
    _add_plan_to_load(context, plan, need)


@then(
    'there are {cells:d} cells, none with more than {limit:d} instances and '
    'none without endpoints'
)
def sizes(context, cells, limit):
    view = context.views['i-0']
    assert len(view.names) == cells, view.names
    instances = Counter(cell for _, cell in _cells(context))
    assert max(instances.values()) <= limit, instances
    assert {view.cell_of_endpoint(each) for each in context.entries} == set(
        view.names
    )


@then(
    'each endpoint is in the own cell of the instances of one cell, in its '
    'data centre if the fleet is divided'
)
def one_cell_each(context):
    centres = {each.instance: each.data_centre for each in context.members}
    for endpoint in context.entries:
        inside = {
            name
            for name, view in context.views.items()
            if view.is_in_own_cell(endpoint)
        }
        cells = {context.views['i-0'].cell_of_instance(name) for name in inside}
        assert len(cells) == 1, (endpoint, cells)
        if len(context.views['i-0'].names) > 1:
            assert {centres[name] for name in inside} == {endpoint.data_centre}


@then(
    'updates on a short go to at most {few:d} instances and on a long to '
    '{many:d}'
)
def receivers_by_length(context, few, many):
    view = context.views['i-0']
    for endpoint in context.entries:
        assert len(view.live_peers(view.cell_of_endpoint(endpoint))) <= few
    receivers = [name for cell in view.names for name in view.live_peers(cell)]
    assert len(receivers) == len(set(receivers)) == many, len(receivers)


@then('nobody changes cells and the dead one gets no updates')
def same_cells(context):
    assert dict(_cells(context)) == context.before
    view = context.views['i-0']
    receivers = {name for cell in view.names for name in view.live_peers(cell)}
    assert context.dead not in receivers


@then('{count:d} of them are in the own cell')
def in_own_cell(context, count):
    used = [
        plan.entry.endpoint_id in context.own_cell for plan in context.plans
    ]
    assert sum(used) == count, sum(used)


@then(
    'the next {count:d} that are placed go to {engines:d} engines or more '
    'in other cells'
)
def spread_over_others(context, count, engines):
    used = set()
    for _ in range(count):
        plan = context.policy.choose(
            context.now_s,
            engine_request(2000),
            context.candidates,
            context.random,
        )
        used.add(plan.entry.endpoint_id)
    assert not used & context.own_cell
    assert len(used) >= engines, used


@then('all its engines are in the own cell')
def long_in_own_cell(context):
    assert _prefill_engine_ids(context.plans[-1]) <= context.own_cell


@then('a long of {tokens:d} tokens uses engines of other cells too')
def long_in_other_cells(context, tokens):
    place_long(context, tokens)
    assert not _prefill_engine_ids(context.plans[-1]) <= context.own_cell


def _divide(context):
    context.views = {}
    for member in context.members:
        view = Cells(member.instance)
        view.use_members(context.members)
        context.views[member.instance] = view


def _cells(context):
    view = context.views['i-0']
    return [
        (member.instance, view.cell_of_instance(member.instance))
        for member in context.members
    ]
