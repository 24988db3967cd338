"""A soak test of the core alone: stores and registries under operators, readers and faults."""
