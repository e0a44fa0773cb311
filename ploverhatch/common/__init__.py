"""Types and helpers that every layer may use."""
