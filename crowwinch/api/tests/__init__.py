"""Tests of crowwinch.api."""
