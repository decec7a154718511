"""What this instance knows of endpoints and of the work pending there."""
