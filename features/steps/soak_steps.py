"""Steps on the soak."""

from contextlib import closing

from behave import then

from features.support.soak.run import play


@then('the soak of {seconds:d} seconds with seed {seed:d} breaks no promise')
def soak(context, seconds, seed):
    with closing(play(seed, seconds)) as verdict:
        print(verdict.line())
        assert not verdict.broken, verdict.broken
        assert verdict.faults.total() > 5
        assert verdict.outcomes[200] > 100
