"""Mutation tests: each mutation removes one guard from the product, and the tests named with it must then fail."""
