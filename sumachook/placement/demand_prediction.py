"""Predicts which models are likely to be requested next."""

from collections.abc import Collection, Sequence
from datetime import timedelta
from math import ceil


class DemandPrediction:
    """Predicts that the models listed after the popular ones are next, while demand moves along the catalogue's order.

    The prediction starts out enabled. A newly popular model that follows a recently popular one in the list counts as a
    confirmation, any other as a contradiction; nothing is predicted while contradictions reach the confirmations.

    >>> prediction, second, listed = DemandPrediction(), timedelta(seconds=1), ("a", "b", "c", "d", "e", "f")
    >>> prediction.predict(listed, {"a", "b"}, second), prediction.predict(listed, {"b", "c"}, second * 9)
    (('c',), ('d',))
    >>> for turn, popular in enumerate(("f", "a", "e", "a", "f")):
    ...     predicted = prediction.predict(listed, {popular}, second * (50 + turn * 40))
    >>> predicted
    ()
    """

    __slots__ = ("last_popular", "confirmed", "contradicted")

    RECENT_WINDOW = timedelta(seconds=20)  # a model that was popular within this time may precede a newly popular one
    MAX_STEP = 2  # maximum list positions by which demand may advance in one step
    POPULAR_PER_PREDICTED = 4  # one model is predicted for so many popular ones

    def __init__(self) -> None:
        self.last_popular: dict[str, timedelta] = {}
        self.confirmed = 1
        self.contradicted = 0

    def predict(self, listed: Sequence[str], popular: Collection[str], now: timedelta) -> tuple[str, ...]:
        """Returns the models that are likely to be requested next, in catalogue order.

        Parameters
        ----------
        listed : all models in the catalogue's order
        popular : the models with the highest request rates now
        """
        position_of = {model: position for position, model in enumerate(listed)}
        self._learn(listed, position_of, popular, now)
        if self.contradicted >= self.confirmed or not popular:
            return ()
        last = max(position_of[model] for model in popular if model in position_of)
        following = [model for model in listed[last + 1 :] if model not in popular]
        return tuple(following[: ceil(len(popular) / self.POPULAR_PER_PREDICTED)])

    def _learn(
        self, listed: Sequence[str], position_of: dict[str, int], popular: Collection[str], now: timedelta
    ) -> None:
        recent = {model for model, at in self.last_popular.items() if now - at < self.RECENT_WINDOW}
        if self.last_popular:
            for model in set(popular) - set(self.last_popular):
                position = position_of.get(model, 0)
                if recent & set(listed[max(0, position - self.MAX_STEP) : position]):
                    self.confirmed += 1
                else:
                    self.contradicted += 1
        kept = {model: at for model, at in self.last_popular.items() if now - at < self.RECENT_WINDOW * 2}
        self.last_popular = kept | dict.fromkeys(popular, now)
