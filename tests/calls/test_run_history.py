"""Tests of whether a call may have run, over all of its attempts."""

import pytest

from sumachook.calls.run_status import CallFailure, RunHistory, RunStatus, says_not_run


@pytest.mark.parametrize(
    ("failure", "status"),
    [
        (CallFailure.REFUSED, RunStatus.NOT_RUN),
        (CallFailure.CONNECT_TIMEOUT, RunStatus.NOT_RUN),
        (CallFailure.TIMEOUT, RunStatus.MAY_HAVE_RUN),
        (CallFailure.RESET, RunStatus.MAY_HAVE_RUN),
    ],
)
def test_only_a_failure_before_the_first_byte_leaves_a_call_not_run(failure, status):
    """Given a failed attempt, the call has not run if no byte was sent; otherwise it may have run, and may be sent
    again only if it is repeatable."""
    history = RunHistory()
    history.begin_attempt()
    history.note_failure(failure)
    assert history.status is status
    assert history.may_send_again(is_repeatable=True)
    assert history.may_send_again(is_repeatable=False) == (status is RunStatus.NOT_RUN)


def test_a_not_run_response_does_not_cover_an_earlier_attempt():
    """Given a reset attempt and a second one that the server states it did not run, the call may have run."""
    history = RunHistory()
    history.begin_attempt()
    history.note_failure(CallFailure.RESET)
    history.begin_attempt()
    history.note_first_byte()
    history.note_not_run()
    assert history.status is RunStatus.MAY_HAVE_RUN and not history.attempt_may_have_run


def test_a_complete_response_means_that_the_call_ran():
    """Given a complete response after an attempt that may have run, the call has run."""
    history = RunHistory()
    history.begin_attempt()
    history.note_failure(CallFailure.TIMEOUT)
    history.begin_attempt()
    history.note_complete_answer()
    assert history.status is RunStatus.RAN


@pytest.mark.parametrize(
    ("status", "has_not_run_header", "is_not_run"),
    [(503, True, True), (503, False, False), (200, True, False), (421, False, True), (500, True, False)],
)
def test_the_not_run_header_counts_only_with_a_refusing_status(status, has_not_run_header, is_not_run):
    """Given a response, it states that the call was not run by status 421, or by the not-run header with a refusing
    status."""
    assert says_not_run(status, has_not_run_header) == is_not_run
