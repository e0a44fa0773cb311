"""Our own stand-in of the users' platform, by its published pages."""
