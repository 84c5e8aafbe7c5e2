"""Operator-defined policies: small expressions, compiled to bytecode that runs with a step limit."""
