"""Rules on whether a call to a server may have run, for forwarded requests, inference requests and orders.

1. Until the first byte of a call is passed to the kernel, the call has not run. A connection that was refused or timed
   out while connecting carried no byte: nothing is queued on a connection before it is established.
2. From that byte on the call may have run, whatever happens next: silence, a reset, a close, a truncated response, a
   timeout, bytes that are not a valid response, or a keep-alive connection that was already dead, and whether or not
   the byte is still in the kernel's send buffer.
3. Only an explicit statement of the server revokes that: a response to this very call, with a refusing status, that
   says it was not run. It covers one attempt; an earlier attempt that may have run still counts.
4. A call that may not be repeated is sent again only while none of its attempts may have run, and always on a new
   connection. Its first attempt may use a connection that the server is known to keep open.
5. A call is never sent again on a connection that carried an earlier attempt of it: a response names the call, not the
   attempt, and a surplus copy of the earlier response may still arrive there. An attempt at a server that an earlier
   one reached therefore gets a new connection, whether or not the call may be repeated. Responses to orders name
   nothing: the first attempt of an order to load from the store, whose outcome counts against the store's rate limit,
   gets a new connection; the count of orders in every order exposes any other response that is taken for the wrong one.
"""

from enum import StrEnum

MISDIRECTED_REQUEST = 421  # HTTP status that needs no not-run header to state that the server did not run the call
# a not-run header counts only with one of these statuses; any other status contradicts it
REFUSING_STATUSES = frozenset({400, 408, MISDIRECTED_REQUEST, 429, 503})


class RunStatus(StrEnum):
    """Whether a call has run, as far as this node knows; the values are written to ledger records."""

    NOT_RUN = "no"
    MAY_HAVE_RUN = "maybe"
    RAN = "yes"


class CallFailure(StrEnum):
    """How an attempt failed without a complete response."""

    REFUSED = "refused"
    CONNECT_TIMEOUT = "connect-timeout"
    TIMEOUT = "timeout"
    RESET = "reset"

    @property
    def was_before_first_byte(self) -> bool:
        """Whether the attempt failed before any byte of the call was passed to the kernel."""
        return self in (CallFailure.REFUSED, CallFailure.CONNECT_TIMEOUT)


def says_not_run(status: int, has_not_run_header: bool) -> bool:
    """Returns whether a response states that the server did not run the call, by its status or its not-run header.

    >>> says_not_run(503, True), says_not_run(503, False), says_not_run(200, True), says_not_run(421, False)
    (True, False, False, True)
    """
    return status == MISDIRECTED_REQUEST or (has_not_run_header and status in REFUSING_STATUSES)


class RunHistory:
    """Tracks whether one call has run, over all of its attempts.

    >>> history = RunHistory()
    >>> history.begin_attempt(); history.note_first_byte(); history.note_not_run(); history.status
    <RunStatus.NOT_RUN: 'no'>
    >>> history.begin_attempt(); history.note_first_byte(); history.begin_attempt(); history.status
    <RunStatus.MAY_HAVE_RUN: 'maybe'>
    >>> history.note_first_byte(); history.note_not_run(); history.status, history.attempt_may_have_run
    (<RunStatus.MAY_HAVE_RUN: 'maybe'>, False)
    >>> unsent = RunHistory()
    >>> unsent.begin_attempt(); unsent.note_failure(CallFailure.REFUSED); unsent.may_send_again(is_repeatable=False)
    True
    >>> unsent.begin_attempt(); unsent.note_failure(CallFailure.RESET); unsent.may_send_again(is_repeatable=False)
    False
    """

    __slots__ = ("_earlier_status", "_attempt_status")

    def __init__(self) -> None:
        self._earlier_status = RunStatus.NOT_RUN  # combined run status of all attempts before the latest
        self._attempt_status = RunStatus.NOT_RUN  # run status of the latest attempt

    @property
    def status(self) -> RunStatus:
        """The combined status of all attempts."""
        return self._attempt_status if self._earlier_status is RunStatus.NOT_RUN else self._earlier_status

    @property
    def attempt_may_have_run(self) -> bool:
        """Whether the latest attempt may have run."""
        return self._attempt_status is not RunStatus.NOT_RUN

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt may have run."""
        return self.status is not RunStatus.NOT_RUN

    def begin_attempt(self) -> None:
        """Starts a new attempt, which has not run yet."""
        self._earlier_status, self._attempt_status = self.status, RunStatus.NOT_RUN

    def note_first_byte(self) -> None:
        """Records that the first byte of the latest attempt was passed to the kernel (rule 2)."""
        if self._attempt_status is RunStatus.NOT_RUN:
            self._attempt_status = RunStatus.MAY_HAVE_RUN

    def note_not_run(self) -> None:
        """Records the server's statement that it did not run the latest attempt (rule 3)."""
        self._attempt_status = RunStatus.NOT_RUN

    def note_complete_answer(self) -> None:
        """Records a complete response, which means that the call has run."""
        self._earlier_status = RunStatus.RAN
        self._attempt_status = RunStatus.RAN

    def note_failure(self, failure: CallFailure) -> None:
        """Records that the latest attempt failed (rules 1 and 2)."""
        if not failure.was_before_first_byte:
            self.note_first_byte()

    def may_send_again(self, is_repeatable: bool) -> bool:
        """Returns whether another attempt is allowed (rule 4)."""
        return is_repeatable or not self.may_have_run
