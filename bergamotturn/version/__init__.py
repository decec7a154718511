"""Settings and configuration: file formats, checks, publication, adoption."""
