"""HTTP clients and servers, and the framed connections between nodes."""
