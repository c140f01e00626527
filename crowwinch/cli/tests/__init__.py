"""Tests of crowwinch.cli."""
