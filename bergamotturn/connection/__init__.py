"""What lives as long as one connection, and the wire forms it speaks."""
