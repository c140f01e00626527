"""Measurements of the decision classes and of whole processes."""
