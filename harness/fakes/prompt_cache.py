"""A fake of the prompt cache of a model server, with least-recently-used eviction."""


class PromptCache:
    """`take` adds the parts of a prompt to the cache and returns the number of tokens that were not cached.

    The least recently used parts are evicted.

    >>> cache = PromptCache(1000)
    >>> cache.take("m", (("a", 300), ("b", 200))), cache.take("m", (("a", 300), ("c", 50)))
    (500, 50)
    >>> cache.take("n", (("a", 300),))
    300
    """

    __slots__ = ("capacity", "tokens")

    def __init__(self, capacity: int):
        self.capacity, self.tokens = capacity, {}

    def take(self, model: str, parts) -> int:
        uncached, chain, is_cached = 0, (model,), True
        for part, tokens in parts:
            chain = (*chain, part)
            is_cached = is_cached and self.tokens.pop(chain, None) is not None
            uncached += 0 if is_cached else tokens
            self.tokens[chain] = tokens
        while sum(self.tokens.values()) > self.capacity:
            del self.tokens[next(iter(self.tokens))]
        return uncached

    def drop(self, model: str):
        self.tokens = {chain: tokens for chain, tokens in self.tokens.items() if chain[0] != model}
