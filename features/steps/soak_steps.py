"""Steps for the soak test."""

from contextlib import closing

from behave import then

from features.support.soak.run import run_seed


@then('the soak of {seconds:d} seconds with seed {seed:d} breaks no promise')
def soak(context, seconds, seed):
    with closing(run_seed(seed, seconds)) as result:
        print(result.summary())
        assert not result.violations, result.violations
        assert result.faults.total() > 5
        assert result.outcomes[200] > 100
