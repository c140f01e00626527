"""Tests of crowwinch.platform."""
