"""Days of our own for the bench: written as TOML, played over seeds, read from the journal."""
