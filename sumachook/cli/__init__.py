"""The subcommands of the program, by whom they are for (§1.6)."""
