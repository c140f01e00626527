"""Tests of crowwinch.targets."""
