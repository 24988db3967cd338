"""Stand-ins for clients, targets, the operator and the platform, for the scripts in review/."""
