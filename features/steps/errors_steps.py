"""Steps for the error kinds."""

from behave import then

from bergamotturn.errors import ANSWERS, ErrorKind

_UNKNOWN_OUTCOMES = (
    ErrorKind.outcome_unknown,
    ErrorKind.in_progress,
    ErrorKind.endpoint_lost,
    ErrorKind.endpoint_failed,
    ErrorKind.deadline_exceeded,
    ErrorKind.store_unavailable,
    ErrorKind.internal,
)


@then('every error kind has an HTTP answer')
def every_kind_has_answer(context):
    """Compare the keys of the answer table with the error kinds."""
    assert set(ANSWERS) == set(ErrorKind)


@then('no kind with an unknown outcome says "not run"')
def unknown_outcomes_do_not_claim(context):
    """Check the flag of each kind after which the call may have run."""
    for kind in _UNKNOWN_OUTCOMES:
        assert not ANSWERS[kind].not_run, kind
