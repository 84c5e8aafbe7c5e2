"""Subcommands of the sumachook program: nodes, operators, policies and stand-ins (docs/design/processes.md)."""
