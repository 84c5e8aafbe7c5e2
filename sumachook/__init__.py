"""sumachook: routes requests to many language models and places these models on servers (docs/design.md)."""

VERSION = "0.1.0"
