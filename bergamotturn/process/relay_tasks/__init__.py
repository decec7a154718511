"""Components that relay requests and share the state of endpoints."""
