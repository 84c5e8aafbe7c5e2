"""Policies: small expressions, compiled to a bytecode with a step limit."""
