"""Fairness, utilisation and control traffic of the decision classes."""
