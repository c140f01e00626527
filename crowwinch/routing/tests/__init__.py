"""Tests of crowwinch.routing."""
