"""Client of the platform's object store and machine list."""
