"""Tests of crowwinch.observability."""
