"""Client of the back ends' control and request protocol."""
