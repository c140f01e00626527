"""Randomized runs of real router processes under faults from outside."""
