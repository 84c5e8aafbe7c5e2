"""The operator's configuration (catalogue) and the settings of one node: structure, validation and changes."""
