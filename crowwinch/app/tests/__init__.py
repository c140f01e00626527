"""Tests of the wiring of components."""
