"""Tests of crowwinch.scheduling."""
