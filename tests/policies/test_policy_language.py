"""The policy language: evaluation as in Python, and errors with line and column."""

import pytest

from sumachook.policies.errors import InvalidPolicyError
from sumachook.policies.policy import compile_policy


def test_programs_evaluate_like_python():
    """Policies that are also valid Python evaluate to the same value as in Python."""
    names = {
        "attempt": 2,
        "fault": "reset",
        "left": 4.5,
        "line": "audit",
        "credit": 1.0,
        "tokens": 7,
        "caller": "c",
        "model": "m",
    }
    texts = (
        "not attempt > 2 and (left >= 2 or line == 'x')",
        "left > (3 if line in ('audit', 'shop') else 1)",
        "min(left, -attempt) + abs(0 - 3) * 2 == 4",
        "line not in ['audit'] or credit % 2 == 1",
        "attempt == 2 and left == 4.5 and tokens / 7 == 1 or credit == 9",
    )
    for text in texts:
        assert compile_policy("retry", text).run(names) == eval(text, {}, names), text


def test_invalid_programs_are_refused_with_their_position():
    """Texts outside the policy language are refused with the error and its line and column."""
    for text, place in (
        ("attempt <\n  'x'", "line 1, column 1"),
        ("lines == 'a'", "column 1"),
        ("attempt", "gives number"),
        ("(lambda: 1)()", "only min"),
        ("attempt ** 9 > 1", "BinOp"),
        ("1 < attempt < 3", "Compare"),
        ("()", "Tuple"),
        ("'a' * 9 == 'b'", "gives text"),
        ("(" * 300 + ")" * 300, "line 1"),
    ):
        with pytest.raises(InvalidPolicyError) as refusal:
            compile_policy("retry", text)
        assert place in str(refusal.value), text
