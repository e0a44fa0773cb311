"""Which server holds which range of keys."""
