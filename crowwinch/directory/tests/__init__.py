"""Tests of crowwinch.directory."""
