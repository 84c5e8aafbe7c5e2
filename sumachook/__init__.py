"""sumachook: a router and placer for many language models (docs/design.md)."""

VERSION = "0.1.0"
