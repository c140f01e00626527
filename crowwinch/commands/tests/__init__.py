"""Tests of crowwinch.commands."""
