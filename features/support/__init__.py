"""Fakes and histories that the steps run the decisions against."""
