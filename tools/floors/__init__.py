"""Lists the missed floors of bench runs beside their broken rules, from the journal."""
