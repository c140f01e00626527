"""Tests of crowwinch.configuration."""
