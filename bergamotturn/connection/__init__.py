"""Components and state of network connections, and their wire formats."""
