"""The checker of quotas: what is over a bound and what is refused inside the floor."""

from sumachook.simulation.quota_invariant_checker import SECOND, Ask, Bounds, QuotaInvariantChecker, Run


def _bounds():
    return Bounds((10.0, float("inf")), (5.0, float("inf")), (10.0, float("inf")), (5.0, float("inf")))


def test_more_than_the_bound_and_refusals_inside_the_floor_are_seen():
    """Given 10 a second with a second saved up: 28 within a second are within the bound, 60 are not; nor are 130 in ten seconds."""
    invariant_checker = QuotaInvariantChecker(_bounds())
    assert list(invariant_checker.ceiling_violations([Run(SECOND * place / 100) for place in range(28)])) == []
    assert "in 1 s" in next(invariant_checker.ceiling_violations([Run(SECOND * place / 100) for place in range(60)]))
    assert "in 10 s" in next(invariant_checker.ceiling_violations([Run(SECOND * place / 13) for place in range(200)]))
    steady = [Ask(SECOND * place / 4, False) for place in range(80)]
    assert (
        list(invariant_checker.floor_violations(steady)) == []
        and len(list(invariant_checker.floor_violations([*steady, Ask(SECOND * 9.9, True)]))) == 1
    )
    assert (
        list(
            invariant_checker.floor_violations(
                [Ask(SECOND * place / 20, place > 8 and place % 2 > 0) for place in range(400)], 1.0
            )
        )
        == []
    )


def test_tokens_are_judged_by_what_came_out():
    """Given 100 tokens a second and requests that may give 400, those that give 90 are within the bound."""
    invariant_checker = QuotaInvariantChecker(
        Bounds((float("inf"), 100.0), (float("inf"), 50.0), (float("inf"), 100.0), (float("inf"), 50.0))
    )
    assert list(invariant_checker.ceiling_violations([Run(SECOND * place, 90.0, 400.0) for place in range(20)])) == []
    assert "tokens in 3 s" in next(
        invariant_checker.ceiling_violations([Run(SECOND * place, 300.0, 300.0) for place in range(20)])
    )
