"""Steps for the soak test."""

from contextlib import closing

from behave import then

from features.support.soak.run import RunSize, run_seed


@then(
    'the soak of {seconds:d} seconds with changes and seed {seed:d} breaks no '
    'promise'
)
def soak_with_changes(context, seconds, seed):
    _run_soak(seconds, seed, RunSize(with_changes=True))


@then(
    'the soak of {seconds:d} seconds with pauses and seed {seed:d} breaks no '
    'promise'
)
def soak_with_pauses(context, seconds, seed):
    _run_soak(seconds, seed, RunSize(engines=6, only_pauses=True))


@then(
    'the soak of {seconds:d} seconds with learned costs and short waits and '
    'seed {seed:d} breaks no promise'
)
def soak_with_load_settings(context, seconds, seed):
    _run_soak(seconds, seed, RunSize(engines=6, has_load_settings=True))


@then('the soak of {seconds:d} seconds with seed {seed:d} breaks no promise')
def soak(context, seconds, seed):
    _run_soak(seconds, seed, RunSize())


def _run_soak(seconds, seed, size):
    with closing(run_seed(seed, seconds, size)) as result:
        print(result.summary())
        assert not result.violations, result.violations
        assert result.faults.total() > 5
        assert result.outcomes[200] > 100
