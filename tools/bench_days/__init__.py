"""The project's own bench days: TOML files, run with several seeds, read from the journal."""
