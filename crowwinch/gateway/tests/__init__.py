"""Tests of crowwinch.gateway."""
