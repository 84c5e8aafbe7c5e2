"""The quota checker: finds runs above the bound and refusals within the floor."""

from sumachook.simulation.quota_invariant_checker import SECOND, Bounds, ClientRequest, QuotaInvariantChecker, Run


def _bounds():
    return Bounds((10.0, float("inf")), (5.0, float("inf")), (10.0, float("inf")), (5.0, float("inf")))


def test_checker_finds_runs_above_bound_and_refusals_within_floor():
    """Ceiling of 10 requests a second, burst of 10: 28 in a second are within the bound, 60 are not, nor 130 in 10 s."""
    invariant_checker = QuotaInvariantChecker(_bounds())
    assert list(invariant_checker.ceiling_violations([Run(SECOND * place / 100) for place in range(28)])) == []
    assert "in 1 s" in next(invariant_checker.ceiling_violations([Run(SECOND * place / 100) for place in range(60)]))
    assert "in 10 s" in next(invariant_checker.ceiling_violations([Run(SECOND * place / 13) for place in range(200)]))
    steady = [ClientRequest(SECOND * place / 4, False) for place in range(80)]
    assert (
        list(invariant_checker.floor_violations(steady)) == []
        and len(list(invariant_checker.floor_violations([*steady, ClientRequest(SECOND * 9.9, True)]))) == 1
    )
    assert (
        list(
            invariant_checker.floor_violations(
                [ClientRequest(SECOND * place / 20, place > 8 and place % 2 > 0) for place in range(400)], 1.0
            )
        )
        == []
    )


def test_token_bound_counts_tokens_generated_not_estimated():
    """Ceiling of 100 tokens a second: requests estimated at 400 tokens that generate 90 each stay within the bound."""
    invariant_checker = QuotaInvariantChecker(
        Bounds((float("inf"), 100.0), (float("inf"), 50.0), (float("inf"), 100.0), (float("inf"), 50.0))
    )
    assert list(invariant_checker.ceiling_violations([Run(SECOND * place, 90.0, 400.0) for place in range(20)])) == []
    assert "tokens in 3 s" in next(
        invariant_checker.ceiling_violations([Run(SECOND * place, 300.0, 300.0) for place in range(20)])
    )
